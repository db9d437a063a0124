#include "model/scenario.h"
#include "base/ini.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_WINDOW (2 * USEC_PER_SEC)

/* A place for a number, with its bounds. */
struct number {
	const char *key;
	double min, max;
	double *at;
	bool required;
};

static int
set_invalid(struct err *e, const struct ini_entry *x, const char *expected)
{
	return err_set(e, ERR_CONFIG, "%s:%d: [%s] %s = %s: write %s", x->file,
	    x->line, x->section, x->key, x->value, expected);
}

static int
read_number(const struct ini *ini, const char *path, const char *section,
    const struct number *n, struct err *e)
{
	const struct ini_entry *x = ini_find(ini, section, n->key);
	char expected[80];
	char *end;

	if (x == NULL) {
		if (!n->required)
			return 0;
		return err_set(e, ERR_CONFIG, "%s: [%s] %s is not set", path,
		    section, n->key);
	}
	*n->at = strtod(x->value, &end);
	snprintf(expected, sizeof(expected), "a number from %g to %g", n->min,
	    n->max);
	if (end == x->value || *end != '\0' || !(*n->at >= n->min) ||
	    *n->at > n->max)
		return set_invalid(e, x, expected);
	return 0;
}

static int
read_numbers(const struct ini *ini, const char *path, const char *section,
    const struct number *v, size_t n, struct err *e)
{
	int rc = 0;

	for (size_t i = 0; rc == 0 && i < n; i++)
		rc = read_number(ini, path, section, &v[i], e);
	return rc;
}

static usec_t
msec(double ms)
{
	return (usec_t)(ms * USEC_PER_MSEC);
}

static int
read_run(
    struct scenario *s, const struct ini *ini, const char *path, struct err *e)
{
	double seconds = 0;
	double window = (double)DEFAULT_WINDOW / USEC_PER_SEC;
	double seed = 1;
	double delay = 5;
	const struct number v[] = {
		{ "seconds", 1, 3600, &seconds, true },
		{ "window", 0.1, 600, &window, false },
		{ "seed", 0, 1e9, &seed, false },
		{ "report_delay_ms", 0, 60000, &delay, false },
	};
	int rc = read_numbers(ini, path, "run", v, 4, e);

	s->length = msec(seconds * 1000);
	s->window = msec(window * 1000);
	s->seed = (uint64_t)seed;
	s->report_delay = msec(delay);
	return rc;
}

static int
read_service(struct scenario *s, const struct ini *ini, const char *path,
    const char *section, const char *name, struct err *e)
{
	struct model_service *m = &s->services[s->n_services];
	double targets = 0, batch = 0, call = 0, item = 0, bytes = 0, ttl = 0;
	const struct number v[] = {
		{ "targets", 1, 1000, &targets, true },
		{ "batch", 1, 1000, &batch, true },
		{ "call_ms", 0.1, 60000, &call, true },
		{ "item_ms", 0.01, 60000, &item, true },
		{ "result_bytes", 1, 1e12, &bytes, true },
		{ "ttl_ms", 100, 600000, &ttl, true },
	};
	int rc = read_numbers(ini, path, section, v, 6, e);

	if (rc != 0)
		return rc;
	if (s->n_services == MODEL_MAX_SERVICES)
		return err_set(e, ERR_CONFIG, "%s: more than %d services", path,
		    MODEL_MAX_SERVICES);
	g_strlcpy(m->name, name, sizeof(m->name));
	m->targets = (uint32_t)targets;
	m->pool = (struct pool_config){ .slots = 1,
		.queue = 2,
		.batch = (uint32_t)batch,
		.call_cost = msec(call),
		.item_cost = msec(item),
		.result_ttl = msec(ttl),
		.result_bytes = (uint64_t)bytes };
	s->n_services++;
	return 0;
}

static int
find_service(const struct scenario *s, struct str name)
{
	for (uint32_t i = 0; i < s->n_services; i++) {
		if (str_eq(name, str_from(s->services[i].name)))
			return (int)i;
	}
	return -1;
}

/* Reads SERVICE:PIECES:BYTES, separated by spaces. */
static int
read_stages(struct scenario *s, struct model_kind *k, const struct ini_entry *x,
    struct err *e)
{
	struct str rest = str_from(x->value);
	struct str part;

	while (str_cut(&rest, ' ', &part)) {
		struct model_stage *g = &k->stages[k->n_stages];
		struct str name, pieces;
		uint64_t n;
		int service;

		if (part.n == 0)
			continue;
		if (k->n_stages == ROUTE_MAX_STAGES ||
		    !str_cut(&part, ':', &name) ||
		    !str_cut(&part, ':', &pieces) ||
		    !str_parse_u64(pieces, &n) || n == 0 || n > 1000 ||
		    !str_parse_u64(part, &g->bytes))
			return set_invalid(e, x,
			    "SERVICE:PIECES:BYTES, up to 8 of them, separated "
			    "by spaces");
		service = find_service(s, name);
		if (service < 0)
			return set_invalid(
			    e, x, "names of services that the file has");
		g->service = (uint32_t)service;
		g->pieces = (uint32_t)n;
		k->n_stages++;
	}
	return 0;
}

static int
read_kind(struct scenario *s, const struct ini *ini, const char *path,
    const char *section, const char *name, struct err *e)
{
	struct model_kind *k = &s->kinds[s->n_kinds];
	const struct ini_entry *x = ini_find(ini, section, "stages");
	const struct ini_entry *patient = ini_find(ini, section, "patient");
	double soft = 0, deadline = 0, rank = 0, retries = 0, event = 150;
	double limit = 0;
	const struct number v[] = {
		{ "rate", 0, 1e6, &k->rate, true },
		{ "soft_ms", 1, 600000, &soft, true },
		{ "deadline_ms", 1, 600000, &deadline, true },
		{ "rank", 0, 9, &rank, false },
		{ "retries", 0, 10, &retries, false },
		{ "first_event_ms", 1, 600000, &event, false },
		{ "first_event_limit_ms", 0, 600000, &limit, false },
		{ "deadline_spread", 0, 0.9, &k->deadline_spread, false },
	};
	int rc = read_numbers(ini, path, section, v, G_N_ELEMENTS(v), e);

	if (rc != 0)
		return rc;
	if (s->n_kinds == MODEL_MAX_KINDS)
		return err_set(e, ERR_CONFIG, "%s: more than %d kinds", path,
		    MODEL_MAX_KINDS);
	g_strlcpy(k->name, name, sizeof(k->name));
	k->soft_deadline = msec(soft);
	k->deadline = msec(deadline);
	k->rank = (uint32_t)rank;
	k->retries = (uint32_t)retries;
	k->first_event = msec(event);
	k->first_event_limit = msec(limit);
	k->impatient = patient != NULL && strcmp(patient->value, "no") == 0;
	s->n_kinds++;
	return x != NULL ? read_stages(s, k, x, e) : 0;
}

static int
find_kind(const struct scenario *s, const char *name)
{
	for (uint32_t i = 0; i < s->n_kinds; i++) {
		if (strcmp(name, s->kinds[i].name) == 0)
			return (int)i;
	}
	return -1;
}

static int
read_fault(struct scenario *s, const struct ini *ini, const char *path,
    const char *section, struct err *e)
{
	struct model_fault *f = &s->faults[s->n_faults];
	const struct ini_entry *kind = ini_find(ini, section, "kind");
	const struct ini_entry *service = ini_find(ini, section, "service");
	double at = 0, span = 0;
	bool slow = ini_find(ini, section, "slow") != NULL;
	const struct number v[] = {
		{ "at_s", 0, 3600, &at, true },
		{ "for_s", 0, 3600, &span, true },
		{ "share", 0, 1, &f->share, false },
		{ slow ? "slow" : "x", 0, 1000, &f->x, false },
	};
	int rc = read_numbers(ini, path, section, v, 4, e);
	int index;

	if (rc != 0)
		return rc;
	if (s->n_faults == MODEL_MAX_FAULTS)
		return err_set(e, ERR_CONFIG, "%s: more than %d faults", path,
		    MODEL_MAX_FAULTS);
	if ((kind == NULL) == (service == NULL))
		return err_set(e, ERR_CONFIG,
		    "%s: [%s] set either kind or service", path, section);
	index = kind != NULL ? find_kind(s, kind->value)
			     : find_service(s, str_from(service->value));
	if (index < 0)
		return set_invalid(e, kind != NULL ? kind : service,
		    "a name that the file has");
	f->type = kind != NULL ? MODEL_FAULT_BURST
	    : slow             ? MODEL_FAULT_SLOW
			       : MODEL_FAULT_CRASH;
	f->index = (uint32_t)index;
	f->at = msec(at * 1000);
	f->end = msec((at + span) * 1000);
	s->n_faults++;
	return 0;
}

/* Reads the sections of one type in the order of the file. */
static int
read_sections(struct scenario *s, const struct ini *ini, const char *path,
    const char *type, struct err *e)
{
	g_autofree char *prefix = g_strdup_printf("%s ", type);
	const char *last = "";
	int rc = 0;

	for (size_t i = 0; rc == 0 && i < ini->n; i++) {
		const char *section = ini->entries[i].section;
		const char *name = section + strlen(prefix);

		if (!g_str_has_prefix(section, prefix) ||
		    strcmp(section, last) == 0)
			continue;
		last = section;
		if (strcmp(type, "service") == 0)
			rc = read_service(s, ini, path, section, name, e);
		else if (strcmp(type, "kind") == 0)
			rc = read_kind(s, ini, path, section, name, e);
		else
			rc = read_fault(s, ini, path, section, e);
	}
	return rc;
}

int
scenario_read(struct scenario *s, const char *path, struct err *e)
{
	struct buf text = { 0 };
	struct ini ini = { 0 };
	int rc;

	*s = (struct scenario){ 0 };
	rc = ini_read_file(path, &text, e);
	if (rc == 0)
		rc = ini_add(&ini, path, str_of(&text), e);
	if (rc == 0)
		rc = read_run(s, &ini, path, e);
	if (rc == 0)
		rc = read_sections(s, &ini, path, "service", e);
	if (rc == 0)
		rc = read_sections(s, &ini, path, "kind", e);
	if (rc == 0)
		rc = read_sections(s, &ini, path, "fault", e);
	if (rc == 0 && s->n_kinds == 0)
		rc = err_set(e, ERR_CONFIG, "%s: no [kind NAME] is set", path);
	ini_free(&ini);
	buf_free(&text);
	return rc;
}
