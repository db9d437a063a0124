#include "kernel/conf.h"
#include "kernel/plugin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Context for reading one object of the configuration. */
struct object_reader {
	const struct ini *ini;
	struct err *e;
	enum conf_object object;
	const char *section;
	void *base;
};

static const char *const object_names[CONF_OBJECTS] = {
	[CONF_POLICY] = "policy",
	[CONF_FLEET] = "fleet",
	[CONF_SERVICE] = "service",
	[CONF_PIPELINE] = "pipeline",
	[CONF_STAGE] = "stage",
	[CONF_WORKSPACE] = "workspace",
};

static int
bad_value(struct err *e, const struct ini_entry *at, const char *expected)
{
	if (at == NULL)
		return err_set(
		    e, ERR_CONFIG, "a built-in default: write %s", expected);
	return err_set(e, ERR_CONFIG, "%s:%d: [%s] %s = %s: write %s", at->file,
	    at->line, at->section, at->key, at->value, expected);
}

static void
append_names(struct str s, struct names *out)
{
	struct str part;

	while (str_cut(&s, ' ', &part)) {
		part = str_trim(part);
		if (part.n == 0)
			continue;
		out->v = xrealloc(out->v, out->n + 1, sizeof(*out->v));
		out->v[out->n++] = str_dup(part);
	}
}

static void
free_names(struct names *l)
{
	for (size_t i = 0; i < l->n; i++)
		free(l->v[i]);
	free(l->v);
	*l = (struct names){ 0 };
}

static bool
parse_date(const char *text, usec_t *out)
{
	struct tm tm = { 0 };
	const char *end;

	if (*text == '\0') {
		*out = 0;
		return true;
	}
	end = strptime(text, "%Y-%m-%dT%H:%M:%SZ", &tm);
	if (end == NULL || *end != '\0')
		return false;
	*out = (usec_t)timegm(&tm) * USEC_PER_SEC;
	return true;
}

/* The index of a word in a space-separated list, or -1. */
static int
word_index(const char *words, struct str word)
{
	struct str rest = str_from(words);
	struct str part;

	for (int i = 0; str_cut(&rest, ' ', &part); i++) {
		if (str_eq(part, word))
			return i;
	}
	return -1;
}

static int
store_number(const struct conf_key *k, const char *text, void *at,
    const struct ini_entry *src, struct err *e)
{
	uint64_t v;
	char expected[96];

	if (!str_parse_u64(str_from(text), &v) || v < k->min || v > k->max) {
		snprintf(expected, sizeof(expected),
		    "a whole number from %llu to %llu",
		    (unsigned long long)k->min, (unsigned long long)k->max);
		return bad_value(e, src, expected);
	}
	if (k->type == CONF_U32)
		*(uint32_t *)at = (uint32_t)v;
	else
		*(usec_t *)at = (usec_t)v *
		    (k->type == CONF_MSEC ? USEC_PER_MSEC : USEC_PER_SEC);
	return 0;
}

static int
store_plugin(const struct conf_key *k, const char *text, void *at,
    const struct ini_entry *src, struct err *e)
{
	struct buf expected = { 0 };
	int rc = 0;

	if (k->type == CONF_KIND) {
		*(const struct stage_ops **)at =
		    plugin_find_stage(str_from(text));
		for (const struct stage_ops *o = plugin_first_stage();
		     o != NULL; o = o->next)
			buf_printf(&expected, "%s%s",
			    expected.n > 0 ? ", " : "one of ", o->name);
	} else {
		*(const struct balance_ops **)at =
		    plugin_find_balance(str_from(text));
		for (const struct balance_ops *o = plugin_first_balance();
		     o != NULL; o = o->next)
			buf_printf(&expected, "%s%s",
			    expected.n > 0 ? ", " : "one of ", o->name);
	}
	if (*(void **)at == NULL)
		rc = bad_value(e, src, expected.p);
	buf_free(&expected);
	return rc;
}

static int
store(const struct conf_key *k, const char *text, void *at,
    const struct ini_entry *src, struct err *e)
{
	int i;

	switch (k->type) {
	case CONF_U32:
	case CONF_MSEC:
	case CONF_SEC:
		return store_number(k, text, at, src, e);
	case CONF_BOOL:
		i = word_index("no yes", str_from(text));
		if (i < 0)
			return bad_value(e, src, "yes or no");
		*(uint32_t *)at = (uint32_t)i;
		return 0;
	case CONF_TEXT:
		free(*(char **)at);
		*(char **)at = str_dup(str_from(text));
		return 0;
	case CONF_NAMES:
		free_names(at);
		append_names(str_from(text), at);
		return 0;
	case CONF_WORD:
		i = word_index(k->words, str_from(text));
		if (i < 0)
			return bad_value(e, src, k->words);
		*(uint32_t *)at = (uint32_t)i;
		return 0;
	case CONF_DATE:
		if (!parse_date(text, at))
			return bad_value(e, src, "YYYY-MM-DDTHH:MM:SSZ");
		return 0;
	case CONF_KIND:
	case CONF_BALANCE:
		return store_plugin(k, text, at, src, e);
	}
	return 0;
}

/*
 * Sets every key of one object from the files, else to its default.  With
 * inherit, policy keys of a stage that are not in the files keep their value.
 */
static int
read_object(const struct object_reader *r, bool inherit)
{
	size_t n;
	const struct conf_key *keys = conf_keys(&n);

	for (size_t i = 0; i < n; i++) {
		const struct conf_key *k = &keys[i];
		const struct ini_entry *src;
		const char *text;
		int rc;

		if (k->object != r->object)
			continue;
		src = ini_find(r->ini, r->section, k->name);
		text = src != NULL && *src->value != '\0' ? src->value
							  : k->default_text;
		if (text == NULL)
			return err_set(r->e, ERR_CONFIG,
			    "[%s] %s is not set: write %s = ... (%s)",
			    r->section, k->name, k->name, k->doc);
		if (inherit && text == k->default_text &&
		    k->offset >= offsetof(struct conf_stage, policy) &&
		    k->object == CONF_STAGE)
			continue;
		rc = store(k, text, (char *)r->base + k->offset, src, r->e);
		if (rc != 0)
			return rc;
	}
	return 0;
}

/* The name in a section such as "[service wattle]", or empty. */
static struct str
section_name(struct str section, enum conf_object o)
{
	struct str word = str_from(object_names[o]);

	if (!str_has_prefix(section, word) || section.n <= word.n + 1 ||
	    section.p[word.n] != ' ')
		return (struct str){ NULL, 0 };
	section.p += word.n + 1;
	section.n -= word.n + 1;
	return str_trim(section);
}

static bool
is_known_key(enum conf_object o, const char *name)
{
	size_t n;
	const struct conf_key *keys = conf_keys(&n);

	for (size_t i = 0; i < n; i++) {
		if (keys[i].object == o && strcmp(keys[i].name, name) == 0)
			return true;
	}
	return false;
}

static int
section_object(struct str section)
{
	if (str_eq(section, STR("policy")))
		return CONF_POLICY;
	if (str_eq(section, STR("fleet")))
		return CONF_FLEET;
	for (int o = CONF_SERVICE; o < CONF_OBJECTS; o++) {
		if (section_name(section, o).n > 0)
			return o;
	}
	return -1;
}

/* Rejects sections and keys that are not in the table. */
static int
check_known(const struct ini *ini, struct err *e)
{
	for (size_t i = 0; i < ini->n; i++) {
		const struct ini_entry *x = &ini->entries[i];
		struct str name;
		int o = section_object(str_from(x->section));

		if (o < 0)
			return err_set(e, ERR_CONFIG,
			    "%s:%d: [%s]: write [policy], [fleet], [service "
			    "NAME], [pipeline NAME], [stage PIPELINE.STAGE] or "
			    "[workspace NAME]",
			    x->file, x->line, x->section);
		if (!is_known_key(o, x->key))
			return err_set(e, ERR_CONFIG,
			    "%s:%d: [%s] %s: no such key of a %s: see "
			    "SETTINGS.md",
			    x->file, x->line, x->section, x->key,
			    object_names[o]);
		name = section_name(str_from(x->section), o);
		if (name.n > MAX_NAME_BYTES)
			return err_set(e, ERR_CONFIG,
			    "%s:%d: [%s]: write a name of at most %d bytes",
			    x->file, x->line, x->section, MAX_NAME_BYTES);
	}
	return 0;
}

/* Appends a zeroed object, whose first field is its name, to a list. */
static void *
add_object(void ***list, size_t *n, size_t size, struct str name)
{
	char **obj = xcalloc(1, size);

	*obj = str_dup(name);
	*list = xrealloc(*list, *n + 1, sizeof(void *));
	(*list)[(*n)++] = obj;
	return obj;
}

static bool
is_repeated_section(const struct ini *ini, size_t i)
{
	for (size_t j = 0; j < i; j++) {
		if (strcmp(ini->entries[j].section, ini->entries[i].section) ==
		    0)
			return true;
	}
	return false;
}

static int
read_stage(struct conf *c, const struct ini *ini, struct conf_pipeline *p,
    size_t i, struct err *e)
{
	struct conf_stage *s = &p->stages[i];
	char section[2 * MAX_NAME_BYTES + 16];
	struct object_reader r = { ini, e, CONF_STAGE, section, s };
	int rc;

	snprintf(section, sizeof(section), "stage %s.%s", p->name,
	    p->stage_names.v[i]);
	s->name = str_dup(str_from(p->stage_names.v[i]));
	s->policy = c->policy;
	rc = read_object(&r, true);
	if (rc != 0)
		return rc;
	s->service = conf_service(c, str_from(s->service_name));
	if (s->service == NULL)
		return err_set(e, ERR_CONFIG,
		    "[%s] service = %s: no such enabled service: write "
		    "[service %s]",
		    section, s->service_name, s->service_name);
	if (s->repeatable == 0)
		p->needs_key = true;
	return 0;
}

static int
read_stages(struct conf *c, const struct ini *ini, struct conf_pipeline *p,
    struct err *e)
{
	if (p->stage_names.n < MIN_STAGES || p->stage_names.n > MAX_STAGES)
		return err_set(e, ERR_CONFIG,
		    "[pipeline %s] stages: found %zu: write %d to %d names",
		    p->name, p->stage_names.n, MIN_STAGES, MAX_STAGES);
	for (size_t i = 0; i < p->stage_names.n; i++) {
		int rc;

		p->n_stages++;
		rc = read_stage(c, ini, p, i, e);
		if (rc != 0)
			return rc;
	}
	return 0;
}

static int
read_named(
    struct conf *c, const struct ini *ini, enum conf_object o, struct err *e)
{
	int rc;

	for (size_t i = 0; i < ini->n; i++) {
		const char *section = ini->entries[i].section;
		struct str name = section_name(str_from(section), o);
		struct object_reader r = { ini, e, o, section, NULL };

		if (name.n == 0 || is_repeated_section(ini, i))
			continue;
		if (o == CONF_SERVICE)
			r.base = add_object((void ***)&c->services,
			    &c->n_services, sizeof(struct conf_service), name);
		else if (o == CONF_PIPELINE)
			r.base =
			    add_object((void ***)&c->pipelines, &c->n_pipelines,
				sizeof(struct conf_pipeline), name);
		else
			r.base = add_object((void ***)&c->workspaces,
			    &c->n_workspaces, sizeof(struct conf_workspace),
			    name);
		rc = read_object(&r, false);
		if (rc == 0 && o == CONF_PIPELINE &&
		    ((struct conf_pipeline *)r.base)->enabled != 0)
			rc = read_stages(c, ini, r.base, e);
		if (rc != 0)
			return rc;
	}
	return 0;
}

/* Rejects stage sections that no pipeline refers to. */
static int
check_stages_used(const struct conf *c, const struct ini *ini, struct err *e)
{
	for (size_t i = 0; i < ini->n; i++) {
		const struct ini_entry *x = &ini->entries[i];
		struct str rest =
		    section_name(str_from(x->section), CONF_STAGE);
		const struct conf_pipeline *p = NULL;
		struct str pipe;

		if (rest.n == 0)
			continue;
		str_cut(&rest, '.', &pipe);
		for (size_t j = 0; j < c->n_pipelines; j++) {
			if (str_eq(str_from(c->pipelines[j]->name), pipe))
				p = c->pipelines[j];
		}
		if (p == NULL || !names_contain(&p->stage_names, rest))
			return err_set(e, ERR_CONFIG,
			    "%s:%d: [%s]: no pipeline has this stage: add it "
			    "to the pipeline's stages",
			    x->file, x->line, x->section);
	}
	return 0;
}

static int
check_digests(const struct conf *c, struct err *e)
{
	for (size_t i = 0; i < c->n_workspaces; i++) {
		const struct conf_workspace *w = c->workspaces[i];

		for (size_t j = 0; j < w->tokens.n; j++) {
			const char *d = w->tokens.v[j];

			if (strlen(d) != HASH_HEX_LEN ||
			    strspn(d, "0123456789abcdef") != HASH_HEX_LEN)
				return err_set(e, ERR_CONFIG,
				    "[workspace %s] tokens_sha256 = %s: write "
				    "64 lower-case hex digits",
				    w->name, d);
		}
	}
	return 0;
}

static void
free_object(enum conf_object o, void *obj)
{
	size_t n;
	const struct conf_key *keys = conf_keys(&n);

	for (size_t i = 0; i < n; i++) {
		void *at = (char *)obj + keys[i].offset;

		if (keys[i].object != o)
			continue;
		if (keys[i].type == CONF_TEXT)
			free(*(char **)at);
		if (keys[i].type == CONF_NAMES)
			free_names(at);
	}
}

static void
free_named(enum conf_object o, void *obj)
{
	free_object(o, obj);
	free(*(char **)obj);
	free(obj);
}

static void
free_conf(struct conf *c)
{
	for (size_t i = 0; i < c->n_services; i++)
		free_named(CONF_SERVICE, c->services[i]);
	for (size_t i = 0; i < c->n_pipelines; i++) {
		struct conf_pipeline *p = c->pipelines[i];

		for (size_t j = 0; j < p->n_stages; j++) {
			free_object(CONF_STAGE, &p->stages[j]);
			free(p->stages[j].name);
		}
		free_named(CONF_PIPELINE, p);
	}
	for (size_t i = 0; i < c->n_workspaces; i++)
		free_named(CONF_WORKSPACE, c->workspaces[i]);
	free(c->services);
	free(c->pipelines);
	free(c->workspaces);
	free(c);
}

struct conf *
conf_read(const struct ini *ini, uint64_t generation, struct err *e)
{
	struct conf *c = xcalloc(1, sizeof(*c));
	struct object_reader policy = { ini, e, CONF_POLICY, "policy",
		&c->policy };
	struct object_reader fleet = { ini, e, CONF_FLEET, "fleet", &c->fleet };

	c->refs = 1;
	c->generation = generation;
	if (check_known(ini, e) != 0 || read_object(&policy, false) != 0 ||
	    read_object(&fleet, false) != 0 ||
	    read_named(c, ini, CONF_SERVICE, e) != 0 ||
	    read_named(c, ini, CONF_PIPELINE, e) != 0 ||
	    read_named(c, ini, CONF_WORKSPACE, e) != 0 ||
	    check_stages_used(c, ini, e) != 0 || check_digests(c, e) != 0) {
		free_conf(c);
		return NULL;
	}
	return c;
}

struct conf *
conf_ref(struct conf *c)
{
	__atomic_add_fetch(&c->refs, 1, __ATOMIC_RELAXED);
	return c;
}

void
conf_unref(struct conf *c)
{
	if (c != NULL && __atomic_sub_fetch(&c->refs, 1, __ATOMIC_ACQ_REL) == 0)
		free_conf(c);
}

const struct conf_service *
conf_service(const struct conf *c, struct str name)
{
	for (size_t i = 0; i < c->n_services; i++) {
		if (c->services[i]->enabled != 0 &&
		    str_eq(str_from(c->services[i]->name), name))
			return c->services[i];
	}
	return NULL;
}

const struct conf_pipeline *
conf_pipeline(const struct conf *c, struct str name)
{
	for (size_t i = 0; i < c->n_pipelines; i++) {
		if (c->pipelines[i]->enabled != 0 &&
		    str_eq(str_from(c->pipelines[i]->name), name))
			return c->pipelines[i];
	}
	return NULL;
}

const struct conf_workspace *
conf_workspace(const struct conf *c, struct str name)
{
	for (size_t i = 0; i < c->n_workspaces; i++) {
		if (c->workspaces[i]->enabled != 0 &&
		    str_eq(str_from(c->workspaces[i]->name), name))
			return c->workspaces[i];
	}
	return NULL;
}

const struct conf_workspace *
conf_workspace_by_token(const struct conf *c, struct str token)
{
	const struct conf_workspace *found = NULL;
	char digest[HASH_HEX_LEN + 1];

	hash_sha256(token, digest);
	for (size_t i = 0; i < c->n_workspaces; i++) {
		const struct conf_workspace *w = c->workspaces[i];

		for (size_t j = 0; j < w->tokens.n; j++) {
			if (hash_equal(w->tokens.v[j], digest) &&
			    w->enabled != 0)
				found = w;
		}
	}
	return found;
}

bool
conf_grants(const struct conf_pipeline *p, const struct conf_workspace *w)
{
	return names_contain(&p->workspaces, STR("*")) ||
	    names_contain(&p->workspaces, str_from(w->name));
}

usec_t
conf_sunset(
    const struct conf *c, const struct conf_pipeline *p, const char **what)
{
	usec_t first = c->fleet.sunset;

	*what = "";
	if (p->sunset != 0 && (first == 0 || p->sunset < first))
		first = p->sunset;
	for (size_t i = 0; i < p->n_stages; i++) {
		const struct conf_service *s = p->stages[i].service;

		if (s->sunset != 0 && (first == 0 || s->sunset < first)) {
			first = s->sunset;
			*what = s->name;
		}
	}
	return first;
}

bool
names_contain(const struct names *l, struct str name)
{
	for (size_t i = 0; i < l->n; i++) {
		if (str_eq(str_from(l->v[i]), name))
			return true;
	}
	return false;
}

const char *
method_name(enum method m)
{
	static const char *const names[] = { "POST", "PUT", "GET" };

	return names[m];
}

const char *
conf_object_name(enum conf_object o)
{
	return object_names[o];
}
