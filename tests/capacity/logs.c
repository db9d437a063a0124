/* Cost of the claims logs and of the configuration log. */
#include "tests/capacity/capacity.h"
#include "kernel/alog.h"
#include "kernel/claims.h"
#include "kernel/confstate.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CLAIM_SEAL_BYTES   (16 * 1024)
#define CLAIM_BATCH_BYTES  (128 * 1024)
#define CONFIG_SEAL_BYTES  (32 * 1024)
#define CONFIG_BATCH_BYTES (256 * 1024)
#define CLAIMS_PER_SWAP    20 /* claims committed together */
#define CONFIG_FILES       20
#define ANSWER_BYTES       200

/* A key-value store in memory and a log that it stores. */
struct mem_store {
	GHashTable *values; /* key -> GString */
	uint64_t revision;  /* of the head key */
	struct alog *log;
	double calls;
	double bytes; /* written */
};

static void
free_string(gpointer p)
{
	g_string_free(p, TRUE);
}

static void
mem_store_open(struct mem_store *s, const struct alog_opts *o)
{
	*s = (struct mem_store){ 0 };
	s->values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_string);
	s->log = alog_new(o);
}

static void
mem_store_close(struct mem_store *s)
{
	alog_free(s->log);
	g_hash_table_destroy(s->values);
}

static void
write_value(struct mem_store *s, const struct alog_request *rq)
{
	if (rq->kind == ALOG_SWAP)
		s->revision++;
	s->bytes += (double)rq->value.n;
	g_hash_table_replace(s->values, g_strdup(rq->key),
	    g_string_new_len(rq->value.p, (gssize)rq->value.n));
}

static void
execute_request(
    struct mem_store *s, struct alog *l, const struct alog_request *rq)
{
	struct alog_response a = { .id = rq->id, .status = ALOG_OK };
	const GString *v;

	s->calls++;
	switch (rq->kind) {
	case ALOG_GET:
		v = g_hash_table_lookup(s->values, rq->key);
		if (v == NULL)
			a.status = ALOG_MISSING;
		else
			a.value = (struct str){ v->str, v->len };
		break;
	case ALOG_SWAP:
	case ALOG_CREATE:
		write_value(s, rq);
		break;
	case ALOG_DELETE:
		break;
	}
	a.revision = s->revision;
	alog_response(l, &a);
}

/* Executes the requests of a log until there are none. */
static void
run_requests(struct mem_store *s, struct alog *l)
{
	struct alog_request rq;
	struct alog_completion d;

	while (alog_request(l, &rq)) {
		execute_request(s, l, &rq);
		alog_request_free(&rq);
	}
	while (alog_completion(l, &d))
		g_assert_cmpint(d.result, ==, ALOG_ACCEPTED);
	g_assert_null(alog_error(l));
}

static struct str
head_of(const struct mem_store *s, const char *key)
{
	const GString *v = g_hash_table_lookup(s->values, key);

	return (struct str){ v->str, v->len };
}

static void
append_claim(struct mem_store *s, uint64_t i, enum claim_step step)
{
	char key[40];
	char request[32];
	char answer[ANSWER_BYTES + 1];
	struct claim cl = { .step = step,
		.workspace = STR("workspace-17"),
		.pipeline = STR("pipeline-3"),
		.attempt = 1,
		.body_hash = i * 0x9e3779b97f4a7c15U,
		.holder = 0x19a1b2c3d4e5f607U };
	json_t *payload;

	snprintf(key, sizeof(key), "0190f3a0-%04x-7000-8000-%012" PRIx64,
	    (unsigned)(i % 65536), i);
	snprintf(request, sizeof(request), "0a1b2c3d-4e5f-%012" PRIx64, i);
	memset(answer, 'a', ANSWER_BYTES);
	answer[ANSWER_BYTES] = '\0';
	cl.key = str_from(key);
	cl.request_id = str_from(request);
	if (step == CLAIM_STEP_SETTLE)
		cl.answer = str_from(answer);
	payload = claim_pack(&cl);
	alog_append(s->log, 2 * i + step, claims_conflict_key(&cl),
	    USEC_PER_SEC, payload);
	json_decref(payload);
}

static double
append_claims(struct mem_store *s, uint64_t from, uint64_t to)
{
	double before = cpu_usec();

	while (from < to) {
		uint64_t end = MIN(from + CLAIMS_PER_SWAP, to);

		for (uint64_t i = from; i < end; i++)
			append_claim(s, i, CLAIM_STEP_CLAIM);
		run_requests(s, s->log);
		for (uint64_t i = from; i < end; i++)
			append_claim(s, i, CLAIM_STEP_SETTLE);
		run_requests(s, s->log);
		from = end;
	}
	return cpu_usec() - before;
}

/* Measures the take-over of a shard: the new holder reads all of it. */
static void
measure_takeover(struct mem_store *s, const struct alog_opts *o, double kept)
{
	struct claims *c = claims_new();
	struct alog_opts other = *o;
	double calls = s->calls;
	double before = cpu_usec();
	struct alog *l;

	other.incarnation = 2;
	other.arg = c;
	l = alog_new(&other);
	run_requests(s, l);
	g_assert_cmpuint(claims_count(c), ==, (size_t)kept);
	record_point("reads to take a shard over, calls per claim kept", kept,
	    s->calls - calls);
	record_point("time to take a shard over, us per claim kept", kept,
	    cpu_usec() - before);
	alog_free(l);
	claims_free(c);
}

void
measure_claims(void)
{
	static const uint64_t kept[] = { 1000, 5000, 25000, 100000 };
	struct claims *c = claims_new();
	struct alog_opts o = { .key = "claims",
		.incarnation = 1,
		.seal_bytes = CLAIM_SEAL_BYTES,
		.batch_bytes = CLAIM_BATCH_BYTES,
		.ops = &claims_ops,
		.arg = c };
	struct mem_store s;
	uint64_t from = 0;

	mem_store_open(&s, &o);
	run_requests(&s, s.log);
	for (size_t i = 0; i < G_N_ELEMENTS(kept); i++) {
		double n = (double)(kept[i] - from);
		double x = (double)kept[i];
		double calls_before = s.calls;
		double bytes_before = s.bytes;

		record_point(
		    "time of the writer for a claim, us per claim kept", x,
		    append_claims(&s, from, kept[i]) / n);
		record_point(
		    "calls for a claim, 20 at a time, calls per claim kept", x,
		    (s.calls - calls_before) / n);
		record_point("bytes written for a claim, B per claim kept", x,
		    (s.bytes - bytes_before) / n);
		record_point("memory of claims kept, B per claim", x,
		    (double)claims_bytes(c));
		record_point("head of a shard, B per claim kept", x,
		    (double)head_of(&s, o.key).n);
		measure_takeover(&s, &o, x);
		from = kept[i];
	}
	mem_store_close(&s);
	claims_free(c);
}

static int
admit_all(void *arg, const json_t *payload)
{
	(void)arg;
	(void)payload;
	return 0;
}

static void
apply_change(void *arg, const json_t *payload, uint64_t serial)
{
	struct err e;

	(void)serial;
	if (confstate_apply_record(arg, payload, &e) < 0)
		g_error("%s", e.text);
}

static json_t *
snapshot(void *arg)
{
	return confstate_snapshot(arg);
}

static void
restore(void *arg, const json_t *state)
{
	struct err e;

	if (confstate_restore(arg, state, &e) < 0)
		g_error("%s", e.text);
}

/* Appends a change of two keys in one of the files. */
static void
append_change(struct mem_store *s, uint64_t i, char (*hashes)[HASH_HEX_LEN + 1])
{
	char name[64];
	char id[64];
	struct confdiff_key keys[] = {
		{ (char *)"workspace workspace-17",
		    (char *)"requests_per_second", (char *)"200",
		    (char *)"250" },
		{ (char *)"workspace workspace-17", (char *)"weight",
		    (char *)"10", (char *)"12" },
	};
	struct confchange file = { .name = name };
	struct confrecord r = { .generation = i + 1,
		.who = (char *)"operator@10.0.0.1",
		.when = USEC_PER_SEC,
		.change_id = id,
		.accepted = true,
		.files = &file,
		.n_files = 1,
		.keys = { keys, G_N_ELEMENTS(keys) } };
	size_t f = i % CONFIG_FILES;
	json_t *payload;

	snprintf(name, sizeof(name), "%02zu-workspaces.ini", f);
	snprintf(id, sizeof(id), "0190f3a0-0000-7000-8000-%012" PRIx64, i);
	snprintf(file.old_hash, sizeof(file.old_hash), "%s", hashes[f]);
	hash_sha256(str_from(id), hashes[f]);
	snprintf(file.hash, sizeof(file.hash), "%s", hashes[f]);
	payload = confrecord_json(&r, true);
	alog_append(s->log, i, 1, USEC_PER_SEC, payload);
	json_decref(payload);
	run_requests(s, s->log);
}

void
measure_configuration(void)
{
	static const uint64_t kept[] = { 100, 1000, 5200, 20000 };
	struct alog_ops ops = { admit_all, apply_change, snapshot, restore };
	char hashes[CONFIG_FILES][HASH_HEX_LEN + 1] = { 0 };
	struct confstate state = { 0 };
	struct alog_opts o = { .key = "config",
		.incarnation = 1,
		.seal_bytes = CONFIG_SEAL_BYTES,
		.batch_bytes = CONFIG_BATCH_BYTES,
		.ops = &ops,
		.arg = &state };
	struct mem_store s;
	uint64_t i = 0;

	mem_store_open(&s, &o);
	run_requests(&s, s.log);
	for (size_t j = 0; j < G_N_ELEMENTS(kept); j++) {
		double before = cpu_usec();
		uint64_t from = i;

		for (; i < kept[j]; i++)
			append_change(&s, i, hashes);
		record_point("writing and folding a change, us per change kept",
		    (double)kept[j],
		    (cpu_usec() - before) / (double)(kept[j] - from));
		record_point("head of the configuration log, B per change kept",
		    (double)kept[j], (double)head_of(&s, o.key).n);
	}
	mem_store_close(&s);
	confstate_free(&state);
}
