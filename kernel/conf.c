#include "kernel/conf.h"
#include "kernel/plug.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define AT(type, field) offsetof(struct type, field)
#define POLICY_OF(object, at)                                                  \
	{ object, "balance", CONF_BALANCE, at + AT(conf_policy, balance), 0,   \
		0, "auto", "",                                                 \
		"How a target is chosen: auto, two-choice, affinity or "       \
		"round-robin.",                                                \
		NULL },                                                        \
	    { object, "admission", CONF_BOOL, at + AT(conf_policy, admission), \
		    0, 1, "yes", "",                                           \
		    "Refuse early what cannot be done in time.", NULL },       \
	    { object, "fair", CONF_BOOL, at + AT(conf_policy, fair), 0, 1,     \
		    "yes", "",                                                 \
		    "Share a busy service between workspaces by weight.",      \
		    NULL },                                                    \
	    { object, "split", CONF_WORD, at + AT(conf_policy, split), 0, 0,   \
		    "quantile", "",                                            \
		    "How the deadline is split over the stages.",              \
		    "quantile even none" },                                    \
	    { object, "retries", CONF_U32, at + AT(conf_policy, retries), 0,   \
		    3, "2", "calls", "Further attempts after the first.",      \
		    NULL },                                                    \
	    { object, "retry_budget", CONF_U32,                                \
		    at + AT(conf_policy, retry_budget), 0, 100, "10",          \
		    "percent", "Retries and hedges together, of all calls.",   \
		    NULL },                                                    \
	    { object, "hedge", CONF_BOOL, at + AT(conf_policy, hedge), 0, 1,   \
		    "yes", "", "Send a second call when the first straggles.", \
		    NULL },                                                    \
	    { object, "hedge_quantile", CONF_U32,                              \
		    at + AT(conf_policy, hedge_quantile), 50, 99, "95",        \
		    "percent",                                                 \
		    "A call straggles after this quantile of its stage.",      \
		    NULL },                                                    \
	    { object, "set_aside", CONF_BOOL, at + AT(conf_policy, set_aside), \
		    0, 1, "yes", "",                                           \
		    "Send nothing to runners that keep failing.", NULL },      \
	    { object, "set_aside_cap", CONF_U32,                               \
		    at + AT(conf_policy, set_aside_cap), 0, 100, "40",         \
		    "percent",                                                 \
		    "At most this share of a service's runners is set aside.", \
		    NULL },                                                    \
	    { object, "resume", CONF_BOOL, at + AT(conf_policy, resume), 0, 1, \
		    "yes", "", "Take a broken stream up on another runner.",   \
		    NULL },                                                    \
	    { object, "stall", CONF_BOOL, at + AT(conf_policy, stall), 0, 1,   \
		    "yes", "", "Give up connections that have gone silent.",   \
		    NULL },                                                    \
	    { object, "prefer_domain", CONF_BOOL,                              \
		    at + AT(conf_policy, prefer_domain), 0, 1, "yes", "",      \
		    "Prefer targets of the own failure domain.", NULL },       \
	{                                                                      \
		object, "imbalance", CONF_U32,                                 \
		    at + AT(conf_policy, imbalance), 0, 1000, "4", "calls",    \
		    "How far a preferred target may be busier than the "       \
		    "other.",                                                  \
		    NULL                                                       \
	}

static const struct conf_key keys[] = {
	POLICY_OF(CONF_POLICY, 0),
	{ CONF_FLEET, "claim_retention_s", CONF_SEC,
	    AT(conf_fleet, claim_retention), 10, 86400 * 31, "3600", "s",
	    "How long a claim is kept; older keys are refused.", NULL },
	{ CONF_FLEET, "claim_answer_bytes", CONF_U32,
	    AT(conf_fleet, claim_answer_bytes), 0, MAX_CLAIM_ANSWER, "256",
	    "bytes", "Answers up to this size are kept with their claim.",
	    NULL },
	{ CONF_FLEET, "sunset", CONF_DATE, AT(conf_fleet, sunset), 0, 0, "",
	    "UTC", "The public shutdown date of the whole service.", NULL },
	{ CONF_FLEET, "host_list_ms", CONF_MSEC,
	    AT(conf_fleet, host_list_interval), 100, 60000, "1000", "ms",
	    "Time between two readings of the host list.", NULL },
	{ CONF_FLEET, "probe_percent", CONF_U32, AT(conf_fleet, probe_percent),
	    0, 100, "2", "percent",
	    "Share of idle runners that are asked for their load each second.",
	    NULL },

	{ CONF_SERVICE, "kind", CONF_KIND, AT(conf_service, kind), 0, 0, NULL,
	    "", "The stage kind of its targets.", NULL },
	{ CONF_SERVICE, "listed", CONF_TEXT, AT(conf_service, listed), 0, 0, "",
	    "", "Its name in the host list; its own name if empty.", NULL },
	{ CONF_SERVICE, "targets", CONF_NAMES, AT(conf_service, targets), 0, 0,
	    "", "", "Targets beside the host list: IP:PORT/FAILURE-DOMAIN.",
	    NULL },
	{ CONF_SERVICE, "model", CONF_TEXT, AT(conf_service, model), 0, 0, "",
	    "", "The model that generate calls name.", NULL },
	{ CONF_SERVICE, "version", CONF_TEXT, AT(conf_service, version), 0, 0,
	    "", "", "The wanted version of the model.", NULL },
	{ CONF_SERVICE, "adapters", CONF_NAMES, AT(conf_service, adapters), 0,
	    0, "", "", "The wanted adapters.", NULL },
	{ CONF_SERVICE, "role", CONF_TEXT, AT(conf_service, role), 0, 0, "", "",
	    "The wanted role of its runners.", NULL },
	{ CONF_SERVICE, "orders", CONF_BOOL, AT(conf_service, orders), 0, 1,
	    "no", "", "Bring the runners to the wanted state by orders.",
	    NULL },
	{ CONF_SERVICE, "fencing", CONF_WORD, AT(conf_service, fencing), 0, 0,
	    "ignored", "", "Whether its runners refuse old fencing numbers.",
	    "honoured ignored" },
	{ CONF_SERVICE, "loading_cap", CONF_U32, AT(conf_service, loading_cap),
	    1, 100, "20", "percent",
	    "At most this share of its runners loads at once.", NULL },
	{ CONF_SERVICE, "order_timeout_ms", CONF_MSEC,
	    AT(conf_service, order_timeout), 100, 600000, "5000", "ms",
	    "The longest that an order is under way.", NULL },
	{ CONF_SERVICE, "concurrency", CONF_U32, AT(conf_service, concurrency),
	    0, 100000, "0", "calls",
	    "Calls that one runner works on at once; 0: not known.", NULL },
	{ CONF_SERVICE, "method", CONF_WORD, AT(conf_service, method), 0, 0,
	    "POST", "", "The method of plain calls.", "POST PUT GET" },
	{ CONF_SERVICE, "path", CONF_TEXT, AT(conf_service, path), 0, 0, "", "",
	    "The path of its calls; the kind's own if empty.", NULL },
	{ CONF_SERVICE, "lookup", CONF_TEXT, AT(conf_service, lookup), 0, 0, "",
	    "", "Path that tells what a key's call has done, with {key}.",
	    NULL },
	{ CONF_SERVICE, "sunset", CONF_DATE, AT(conf_service, sunset), 0, 0, "",
	    "UTC", "Its public shutdown date.", NULL },
	{ CONF_SERVICE, "enabled", CONF_BOOL, AT(conf_service, enabled), 0, 1,
	    "yes", "", "Set to no to take it out.", NULL },

	{ CONF_PIPELINE, "stages", CONF_NAMES, AT(conf_pipeline, stage_names),
	    0, 0, NULL, "", "Its stages in order.", NULL },
	{ CONF_PIPELINE, "workspaces", CONF_NAMES,
	    AT(conf_pipeline, workspaces), 0, 0, NULL, "",
	    "The workspaces that it serves; * for all.", NULL },
	{ CONF_PIPELINE, "answer", CONF_NAMES, AT(conf_pipeline, answer), 0, 0,
	    "", "", "Keys of the document that a caller gets; all if empty.",
	    NULL },
	{ CONF_PIPELINE, "deadline_ms", CONF_MSEC, AT(conf_pipeline, deadline),
	    10, 600000, "5000", "ms", "Time for a whole request.", NULL },
	{ CONF_PIPELINE, "priority", CONF_U32, AT(conf_pipeline, priority), 0,
	    9, "5", "", "Priority that engines get; 0 is the most urgent.",
	    NULL },
	{ CONF_PIPELINE, "sunset", CONF_DATE, AT(conf_pipeline, sunset), 0, 0,
	    "", "UTC", "Its public shutdown date.", NULL },
	{ CONF_PIPELINE, "enabled", CONF_BOOL, AT(conf_pipeline, enabled), 0, 1,
	    "yes", "", "Set to no to take it out.", NULL },

	{ CONF_STAGE, "service", CONF_TEXT, AT(conf_stage, service_name), 0, 0,
	    NULL, "", "The service that its calls go to.", NULL },
	{ CONF_STAGE, "repeatable", CONF_BOOL, AT(conf_stage, repeatable), 0, 1,
	    "yes", "", "Whether a call may be sent again.", NULL },
	{ CONF_STAGE, "prompt", CONF_NAMES, AT(conf_stage, prompt), 0, 0,
	    "text", "", "Keys of the document that make the prompt.", NULL },
	{ CONF_STAGE, "output", CONF_TEXT, AT(conf_stage, output), 0, 0, "text",
	    "", "Key of the document that gets the generated text.", NULL },
	{ CONF_STAGE, "max_tokens", CONF_U32, AT(conf_stage, max_tokens), 1,
	    100000, "128", "tokens", "Bound on a generated text.", NULL },
	POLICY_OF(CONF_STAGE, AT(conf_stage, policy)),

	{ CONF_WORKSPACE, "tokens_sha256", CONF_NAMES,
	    AT(conf_workspace, tokens), 0, 0, NULL, "",
	    "SHA-256 of its bearer tokens, in hex.", NULL },
	{ CONF_WORKSPACE, "weight", CONF_U32, AT(conf_workspace, weight), 1,
	    1000, "10", "", "Its weight when a service is busy.", NULL },
	{ CONF_WORKSPACE, "requests_per_second", CONF_U32,
	    AT(conf_workspace, requests_per_second), 0, 10000000, "0", "1/s",
	    "Limit over the whole fleet; 0: none.", NULL },
	{ CONF_WORKSPACE, "requests_in_flight", CONF_U32,
	    AT(conf_workspace, requests_in_flight), 0, 10000000, "0",
	    "requests", "Limit over the whole fleet; 0: none.", NULL },
	{ CONF_WORKSPACE, "tokens_per_second", CONF_U32,
	    AT(conf_workspace, tokens_per_second), 0, 1000000000, "0",
	    "tokens/s", "Limit over the whole fleet; 0: none.", NULL },
	{ CONF_WORKSPACE, "salt", CONF_TEXT, AT(conf_workspace, salt), 0, 0, "",
	    "",
	    "Workspaces with the same salt share prompt prefixes; its own "
	    "name if empty.",
	    NULL },
	{ CONF_WORKSPACE, "enabled", CONF_BOOL, AT(conf_workspace, enabled), 0,
	    1, "yes", "", "Set to no to take it out.", NULL },
};

#define N_KEYS (sizeof(keys) / sizeof(keys[0]))

/* One object of the configuration while it is read. */
struct reading {
	const struct ini *set;
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
fault(struct err *e, const struct ini_entry *at, const char *want)
{
	if (at == NULL)
		return err_set(
		    e, ERR_CONFIG, "a built-in default: write %s", want);
	return err_set(e, ERR_CONFIG, "%s:%d: [%s] %s = %s: write %s", at->file,
	    at->line, at->section, at->key, at->value, want);
}

static void
split_names(struct str s, struct names *out)
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

/* The place of a word in a list, or -1. */
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
	char want[96];

	if (!str_u64(str_from(text), &v) || v < k->min || v > k->max) {
		snprintf(want, sizeof(want), "a whole number from %llu to %llu",
		    (unsigned long long)k->min, (unsigned long long)k->max);
		return fault(e, src, want);
	}
	if (k->type == CONF_U32)
		*(uint32_t *)at = (uint32_t)v;
	else
		*(usec_t *)at = (usec_t)v *
		    (k->type == CONF_MSEC ? USEC_PER_MSEC : USEC_PER_SEC);
	return 0;
}

static int
store_plug(const struct conf_key *k, const char *text, void *at,
    const struct ini_entry *src, struct err *e)
{
	struct buf want = { 0 };
	int rc = 0;

	if (k->type == CONF_KIND) {
		*(const struct stage_ops **)at = stage_find(str_from(text));
		for (const struct stage_ops *o = stage_first(); o != NULL;
		     o = o->next)
			buf_printf(&want, "%s%s", want.n > 0 ? ", " : "one of ",
			    o->name);
	} else {
		*(const struct balance_ops **)at = balance_find(str_from(text));
		for (const struct balance_ops *o = balance_first(); o != NULL;
		     o = o->next)
			buf_printf(&want, "%s%s", want.n > 0 ? ", " : "one of ",
			    o->name);
	}
	if (*(void **)at == NULL)
		rc = fault(e, src, want.p);
	buf_free(&want);
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
			return fault(e, src, "yes or no");
		*(uint32_t *)at = (uint32_t)i;
		return 0;
	case CONF_TEXT:
		free(*(char **)at);
		*(char **)at = str_dup(str_from(text));
		return 0;
	case CONF_NAMES:
		free_names(at);
		split_names(str_from(text), at);
		return 0;
	case CONF_WORD:
		i = word_index(k->words, str_from(text));
		if (i < 0)
			return fault(e, src, k->words);
		*(uint32_t *)at = (uint32_t)i;
		return 0;
	case CONF_DATE:
		if (!parse_date(text, at))
			return fault(e, src, "YYYY-MM-DDTHH:MM:SSZ");
		return 0;
	case CONF_KIND:
	case CONF_BALANCE:
		return store_plug(k, text, at, src, e);
	}
	return 0;
}

/* Sets every key of one object from the files or from its default. */
static int
read_object(const struct reading *r, bool inherit)
{
	for (size_t i = 0; i < N_KEYS; i++) {
		const struct conf_key *k = &keys[i];
		const struct ini_entry *src;
		const char *text;
		int rc;

		if (k->object != r->object)
			continue;
		src = ini_find(r->set, r->section, k->name);
		text = src != NULL && *src->value != '\0' ? src->value
							  : k->fallback;
		if (text == NULL)
			return err_set(r->e, ERR_CONFIG,
			    "[%s] %s is not set: write %s = ... (%s)",
			    r->section, k->name, k->name, k->doc);
		if (inherit && text == k->fallback &&
		    k->offset >= offsetof(struct conf_stage, policy) &&
		    k->object == CONF_STAGE)
			continue;
		rc = store(k, text, (char *)r->base + k->offset, src, r->e);
		if (rc != 0)
			return rc;
	}
	return 0;
}

/* The name in "[service wattle]", or empty. */
static struct str
section_name(struct str section, enum conf_object o)
{
	struct str word = str_from(object_names[o]);

	if (!str_prefix(section, word) || section.n <= word.n + 1 ||
	    section.p[word.n] != ' ')
		return (struct str){ NULL, 0 };
	section.p += word.n + 1;
	section.n -= word.n + 1;
	return str_trim(section);
}

static bool
known_key(enum conf_object o, const char *name)
{
	for (size_t i = 0; i < N_KEYS; i++) {
		if (keys[i].object == o && strcmp(keys[i].name, name) == 0)
			return true;
	}
	return false;
}

static int
object_of(struct str section)
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

/* Refuses sections and keys that the table does not hold. */
static int
check_known(const struct ini *set, struct err *e)
{
	for (size_t i = 0; i < set->n; i++) {
		const struct ini_entry *x = &set->entries[i];
		struct str name;
		int o = object_of(str_from(x->section));

		if (o < 0)
			return err_set(e, ERR_CONFIG,
			    "%s:%d: [%s]: write [policy], [fleet], [service "
			    "NAME], [pipeline NAME], [stage PIPELINE.STAGE] or "
			    "[workspace NAME]",
			    x->file, x->line, x->section);
		if (!known_key(o, x->key))
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

/* Adds a zeroed object that starts with its name. */
static void *
add(void ***list, size_t *n, size_t size, struct str name)
{
	char **obj = xcalloc(1, size);

	*obj = str_dup(name);
	*list = xrealloc(*list, *n + 1, sizeof(void *));
	(*list)[(*n)++] = obj;
	return obj;
}

static bool
seen_before(const struct ini *set, size_t i)
{
	for (size_t j = 0; j < i; j++) {
		if (strcmp(set->entries[j].section, set->entries[i].section) ==
		    0)
			return true;
	}
	return false;
}

static int
read_stage(struct conf *c, const struct ini *set, struct conf_pipeline *p,
    size_t i, struct err *e)
{
	struct conf_stage *s = &p->stages[i];
	char section[2 * MAX_NAME_BYTES + 16];
	struct reading r = { set, e, CONF_STAGE, section, s };
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
		p->keyed = true;
	return 0;
}

static int
read_stages(struct conf *c, const struct ini *set, struct conf_pipeline *p,
    struct err *e)
{
	if (p->stage_names.n < MIN_STAGES || p->stage_names.n > MAX_STAGES)
		return err_set(e, ERR_CONFIG,
		    "[pipeline %s] stages: found %zu: write %d to %d names",
		    p->name, p->stage_names.n, MIN_STAGES, MAX_STAGES);
	for (size_t i = 0; i < p->stage_names.n; i++) {
		int rc;

		p->n_stages++;
		rc = read_stage(c, set, p, i, e);
		if (rc != 0)
			return rc;
	}
	return 0;
}

static int
read_named(
    struct conf *c, const struct ini *set, enum conf_object o, struct err *e)
{
	int rc;

	for (size_t i = 0; i < set->n; i++) {
		const char *section = set->entries[i].section;
		struct str name = section_name(str_from(section), o);
		struct reading r = { set, e, o, section, NULL };

		if (name.n == 0 || seen_before(set, i))
			continue;
		if (o == CONF_SERVICE)
			r.base = add((void ***)&c->services, &c->n_services,
			    sizeof(struct conf_service), name);
		else if (o == CONF_PIPELINE)
			r.base = add((void ***)&c->pipelines, &c->n_pipelines,
			    sizeof(struct conf_pipeline), name);
		else
			r.base = add((void ***)&c->workspaces, &c->n_workspaces,
			    sizeof(struct conf_workspace), name);
		rc = read_object(&r, false);
		if (rc == 0 && o == CONF_PIPELINE &&
		    ((struct conf_pipeline *)r.base)->enabled != 0)
			rc = read_stages(c, set, r.base, e);
		if (rc != 0)
			return rc;
	}
	return 0;
}

/* Refuses stage sections that no pipeline names. */
static int
check_stages_used(const struct conf *c, const struct ini *set, struct err *e)
{
	for (size_t i = 0; i < set->n; i++) {
		const struct ini_entry *x = &set->entries[i];
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
		if (p == NULL || !names_have(&p->stage_names, rest))
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
	for (size_t i = 0; i < N_KEYS; i++) {
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
conf_read(const struct ini *set, uint64_t generation, struct err *e)
{
	struct conf *c = xcalloc(1, sizeof(*c));
	struct reading policy = { set, e, CONF_POLICY, "policy", &c->policy };
	struct reading fleet = { set, e, CONF_FLEET, "fleet", &c->fleet };

	c->refs = 1;
	c->generation = generation;
	if (check_known(set, e) != 0 || read_object(&policy, false) != 0 ||
	    read_object(&fleet, false) != 0 ||
	    read_named(c, set, CONF_SERVICE, e) != 0 ||
	    read_named(c, set, CONF_PIPELINE, e) != 0 ||
	    read_named(c, set, CONF_WORKSPACE, e) != 0 ||
	    check_stages_used(c, set, e) != 0 || check_digests(c, e) != 0) {
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
conf_token(const struct conf *c, struct str token)
{
	const struct conf_workspace *found = NULL;
	char digest[HASH_HEX_LEN + 1];

	hash_sha256(token, digest);
	for (size_t i = 0; i < c->n_workspaces; i++) {
		const struct conf_workspace *w = c->workspaces[i];

		for (size_t j = 0; j < w->tokens.n; j++) {
			if (hash_same(w->tokens.v[j], digest) &&
			    w->enabled != 0)
				found = w;
		}
	}
	return found;
}

bool
conf_grants(const struct conf_pipeline *p, const struct conf_workspace *w)
{
	return names_have(&p->workspaces, STR("*")) ||
	    names_have(&p->workspaces, str_from(w->name));
}

bool
names_have(const struct names *l, struct str name)
{
	for (size_t i = 0; i < l->n; i++) {
		if (str_eq(str_from(l->v[i]), name))
			return true;
	}
	return false;
}

const struct conf_key *
conf_keys(size_t *n)
{
	*n = N_KEYS;
	return keys;
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
