/* Tables of cases for the append-only log, against a store in memory. */
#include "tests/kernel/logstore.h"

#include <glib.h>
#include <string.h>

#define HEAD      "log"
#define NO_SEAL   (64 * 1024)
#define MAX_TAGS  64
#define NOT_DONE  (-1)
#define DENY_CODE 7
#define OLD_TIME  1
#define RECENT    1000

/* A process with its log; folded holds the names that it has folded. */
struct host {
	struct alog *log;
	struct logstore *store;
	GString *folded;
	usec_t keep_from;
	usec_t dropped;
	int result[MAX_TAGS];
	int code;
};

static int
admit(void *arg, const json_t *payload)
{
	(void)arg;
	return json_object_get(payload, "deny") != NULL ? DENY_CODE : 0;
}

static void
apply(void *arg, const json_t *payload, uint64_t serial)
{
	struct host *h = arg;

	(void)serial;
	g_string_append(
	    h->folded, json_string_value(json_object_get(payload, "name")));
}

static json_t *
snapshot(void *arg)
{
	return json_string(((struct host *)arg)->folded->str);
}

static void
restore(void *arg, const json_t *state)
{
	g_string_assign(((struct host *)arg)->folded, json_string_value(state));
}

static usec_t
keep_from(void *arg)
{
	return ((struct host *)arg)->keep_from;
}

static void
dropped(void *arg, usec_t from)
{
	((struct host *)arg)->dropped = from;
}

static const struct alog_ops plain = { .admit = admit,
	.apply = apply,
	.keep_from = keep_from,
	.dropped = dropped };
static const struct alog_ops kept = {
	.admit = admit, .apply = apply, .snapshot = snapshot, .restore = restore
};

static void
host_start(struct host *h, struct logstore *s, uint64_t incarnation,
    size_t seal_bytes, const struct alog_ops *ops)
{
	struct alog_opts o = { .key = HEAD,
		.incarnation = incarnation,
		.seal_bytes = seal_bytes,
		.batch_bytes = ALOG_MAX_PAYLOAD,
		.ops = ops,
		.arg = h };

	*h = (struct host){ .store = s, .folded = g_string_new(NULL) };
	for (size_t i = 0; i < MAX_TAGS; i++)
		h->result[i] = NOT_DONE;
	h->log = alog_new(&o);
}

static void
host_stop(struct host *h)
{
	alog_free(h->log);
	g_string_free(h->folded, TRUE);
}

static void
take_done(struct host *h)
{
	struct alog_completion d;

	while (alog_completion(h->log, &d)) {
		g_assert_cmpint(h->result[d.tag], ==, NOT_DONE);
		h->result[d.tag] = (int)d.result;
		if (d.result == ALOG_DENIED)
			h->code = d.code;
	}
}

/* A store with two hosts. */
struct world {
	struct logstore s;
	struct host h;
	struct host r;
};

static void
world_start(struct world *w, size_t seal_bytes, const struct alog_ops *ops)
{
	logstore_init(&w->s);
	host_start(&w->h, &w->s, 1, seal_bytes, ops);
	host_start(&w->r, &w->s, 2, seal_bytes, ops);
}

static void
world_stop(struct world *w)
{
	host_stop(&w->h);
	host_stop(&w->r);
	logstore_free(&w->s);
}

/*
 * Carries out all requests.  One character of faults for each: '.' fine,
 * 'b' lost before its effect, 'a' lost after it; fine when there is no more.
 */
static void
pump(struct host *h, const char *faults)
{
	struct alog_request r;

	while (alog_request(h->log, &r)) {
		char fault = *faults != '\0' ? *faults++ : '.';
		struct alog_response a = { .id = r.id, .status = ALOG_LOST };

		if (fault == 'a')
			logstore_do(h->store, &r);
		else if (fault == '.')
			a = logstore_do(h->store, &r);
		alog_response(h->log, &a);
		alog_request_free(&r);
	}
	take_done(h);
}

static void
append(struct host *h, uint64_t tag, const char *name, uint64_t conflict,
    usec_t time)
{
	json_auto_t *p = json_pack("{s:s}", "name", name);

	g_assert_cmpint(alog_append(h->log, tag, conflict, time, p), ==, 0);
}

static void
test_lost(void)
{
	/* Requests: read, swap, then whatever the log needs. */
	static const struct {
		const char *faults;
		bool rival; /* another appends between the loss and reading */
		uint64_t requests;
		const char *log;
	} cases[] = {
		{ "..", false, 2, "x" },
		{ "b.", false, 3, "x" },
		{ ".b", false, 4, "x" },
		{ ".a", false, 3, "x" },
		{ ".bba", false, 6, "x" },
		{ ".b", true, 4, "rx" },
		{ ".a", true, 3, "xr" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world w;
		const char *rest = cases[i].faults;

		world_start(&w, NO_SEAL, &plain);
		append(&w.h, 0, "x", 1, RECENT);
		if (cases[i].rival) {
			struct alog_request q[2];

			pump(&w.r, "");
			for (size_t j = 0; j < 2; j++) {
				struct alog_response a = { .status =
							       ALOG_LOST };

				g_assert_true(alog_request(w.h.log, &q[j]));
				if (rest[j] != 'b')
					a = logstore_do(&w.s, &q[j]);
				a.id = q[j].id;
				if (rest[j] != '.')
					a.status = ALOG_LOST;
				if (j == 1) {
					append(&w.r, 0, "r", 2, RECENT);
					pump(&w.r, "");
				}
				alog_response(w.h.log, &a);
				alog_request_free(&q[j]);
			}
			rest = "";
		}
		pump(&w.h, rest);
		pump(&w.r, "");
		g_assert_cmpint(w.h.result[0], ==, ALOG_ACCEPTED);
		g_assert_cmpuint(
		    alog_counts(w.h.log).requests, ==, cases[i].requests);
		g_assert_cmpstr(w.h.folded->str, ==, cases[i].log);
		world_stop(&w);
	}
}

static void
test_group(void)
{
	struct world w;
	json_auto_t *deny = json_pack("{s:s, s:b}", "name", "d", "deny", 1);

	world_start(&w, NO_SEAL, &plain);
	pump(&w.h, "");
	append(&w.h, 0, "a", 1, RECENT);
	append(&w.h, 1, "b", 2, RECENT);
	append(&w.h, 2, "c", 3, RECENT);
	append(&w.h, 3, "B", 2, RECENT);
	append(&w.h, 4, "w", 4, RECENT);
	alog_append(w.h.log, 5, 5, RECENT, deny);
	g_assert_true(alog_cancel(w.h.log, 4));
	g_assert_false(alog_cancel(w.h.log, 0));
	pump(&w.h, "");
	g_assert_cmpstr(w.h.folded->str, ==, "abcB");
	g_assert_cmpint(w.h.result[4], ==, ALOG_CANCELLED);
	g_assert_cmpint(w.h.result[5], ==, ALOG_DENIED);
	g_assert_cmpint(w.h.code, ==, DENY_CODE);
	g_assert_cmpuint(alog_counts(w.h.log).swaps, ==, 3);
	g_assert_cmpuint(alog_counts(w.h.log).requests, ==, 4);
	world_stop(&w);
}

/* What the store holds beside the head. */
static unsigned
n_segments(const struct logstore *s)
{
	return g_hash_table_size(s->keys) - 1;
}

static void
append_all(struct host *h, const char *names, usec_t time, const char *faults)
{
	for (size_t i = 0; names[i] != '\0'; i++) {
		char name[2] = { names[i], '\0' };

		append(h, (uint64_t)(names[i] - 'a'), name, i, time);
		pump(h, faults);
	}
}

static void
test_seal(void)
{
	static const struct {
		const struct alog_ops *ops;
		const char *faults; /* of each append */
		bool reads_segments;
	} cases[] = {
		{ &plain, "", true },
		{ &plain, "a", true },
		{ &plain, "b", true },
		{ &plain, ".a", true },
		{ &kept, "", false },
		{ &kept, ".a", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world w;
		struct host fresh;

		world_start(&w, 1, cases[i].ops);
		pump(&w.h, "");
		append_all(&w.h, "a", RECENT, cases[i].faults);
		pump(&w.r, "");
		append_all(&w.h, "bcdefghijklmnop", RECENT, cases[i].faults);
		g_assert_cmpstr(w.h.folded->str, ==, "abcdefghijklmnop");
		g_assert_cmpuint(n_segments(&w.s), >, 1);
		alog_refresh(w.r.log);
		pump(&w.r, "");
		g_assert_cmpstr(w.r.folded->str, ==, "abcdefghijklmnop");
		host_start(&fresh, &w.s, 3, 1, cases[i].ops);
		pump(&fresh, "");
		g_assert_cmpstr(fresh.folded->str, ==, "abcdefghijklmnop");
		g_assert_cmpuint(alog_counts(fresh.log).requests, ==,
		    cases[i].reads_segments ? n_segments(&w.s) + 1 : 1);
		host_stop(&fresh);
		world_stop(&w);
	}
}

/* Old segments go off the head, then away; a host that lags passes over. */
static void
test_retention(void)
{
	struct world w;

	world_start(&w, 1, &plain);
	pump(&w.r, "");
	append_all(&w.h, "abcdef", OLD_TIME, "");
	append_all(&w.h, "ghijkl", RECENT, "");
	g_assert_cmpuint(w.s.deletes, ==, 0);
	w.h.keep_from = RECENT;
	append_all(&w.h, "m", RECENT, "");
	g_assert_cmpuint(w.s.deletes, >, 0);
	g_assert_cmpuint(n_segments(&w.s), >, 0);
	alog_refresh(w.r.log);
	pump(&w.r, "");
	g_assert_cmpuint(alog_serial(w.r.log), ==, alog_serial(w.h.log));
	g_assert_true(g_str_has_suffix(w.r.folded->str, "ghijklm"));
	g_assert_cmpint(w.r.dropped, ==, RECENT);
	g_assert_true(g_str_has_suffix(w.h.folded->str, w.r.folded->str));
	world_stop(&w);
}

/* A segment whose place another writer's took is deleted. */
static void
test_orphan(void)
{
	struct world w;
	struct alog_request q;
	struct alog_response a;

	world_start(&w, 1, &plain);
	append_all(&w.h, "a", RECENT, "");
	pump(&w.r, "");
	append(&w.h, 1, "b", 1, RECENT);
	g_assert_true(alog_request(w.h.log, &q));
	g_assert_cmpint(q.kind, ==, ALOG_CREATE);
	a = logstore_do(&w.s, &q);
	append_all(&w.r, "z", RECENT, "");
	alog_response(w.h.log, &a);
	pump(&w.h, "");
	alog_request_free(&q);
	g_assert_cmpstr(w.h.folded->str, ==, "azb");
	g_assert_cmpuint(w.s.deletes, ==, 1);
	world_stop(&w);
}

/* A watch is worth a read; what it repeats or tells late is ignored. */
static void
test_watch(void)
{
	struct world w;
	const struct logvalue *v;
	g_autofree char *old = NULL;

	world_start(&w, NO_SEAL, &plain);
	pump(&w.r, "");
	append_all(&w.h, "a", RECENT, "");
	v = logstore_get(&w.s, HEAD);
	old = g_strdup(v->text->str);
	alog_watch_event(w.r.log, v->revision, str_from(old));
	append_all(&w.h, "b", RECENT, "");
	v = logstore_get(&w.s, HEAD);
	alog_watch_event(w.r.log, v->revision, str_from(v->text->str));
	alog_watch_event(w.r.log, v->revision, str_from(v->text->str));
	alog_watch_event(w.r.log, v->revision - 1, str_from(old));
	g_assert_cmpstr(w.r.folded->str, ==, "ab");
	g_assert_cmpuint(alog_counts(w.r.log).requests, ==, 1);
	world_stop(&w);
}

#define HEAD_OF(serial, first, segments)                            \
	"{\"version\":1,\"serial\":" serial ",\"first\":" first "," \
	"\"newest\":[],\"segments\":[" segments "]}"
#define EMPTY_HEAD HEAD_OF("0", "1", "")
#define SEGMENT    "{\"name\":\"log/x\",\"first\":1,\"last\":3,\"time\":0}"

/* What can't be read is refused; nothing is written over it. */
static void
test_refuse(void)
{
	static const struct {
		const char *before; /* a head that is read first */
		const char *head;   /* NULL: it is deleted */
		const char *error;
	} cases[] = {
		{ NULL, "{\"version\":2}", "version 2 can't be read" },
		{ NULL, "nonsense", "not JSON" },
		{ NULL, "{\"version\":1}", "fields are missing" },
		{ NULL, HEAD_OF("5", "1", ""), "fields are missing" },
		{ NULL, HEAD_OF("3", "1", SEGMENT),
		    "segment log/x, which is gone" },
		{ EMPTY_HEAD, NULL, "its head is gone" },
		{ HEAD_OF("3", "4", ""), EMPTY_HEAD,
		    "went back from serial 3 to 0" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world w;

		world_start(&w, NO_SEAL, &plain);
		if (cases[i].before != NULL) {
			logstore_put(&w.s, HEAD, str_from(cases[i].before));
			pump(&w.h, "");
		}
		if (cases[i].head != NULL)
			logstore_put(&w.s, HEAD, str_from(cases[i].head));
		else
			g_hash_table_remove(w.s.keys, HEAD);
		alog_refresh(w.h.log);
		append(&w.h, 0, "a", 1, RECENT);
		pump(&w.h, "");
		g_assert_nonnull(alog_error(w.h.log));
		g_assert_nonnull(
		    strstr(alog_error(w.h.log)->text, cases[i].error));
		g_assert_cmpint(w.h.result[0], ==, ALOG_CANCELLED);
		append(&w.h, 1, "b", 1, RECENT);
		alog_refresh(w.h.log);
		pump(&w.h, "");
		g_assert_cmpint(w.h.result[1], ==, ALOG_CANCELLED);
		g_assert_cmpuint(w.s.revision, ==,
		    (cases[i].before != NULL) + (cases[i].head != NULL));
		world_stop(&w);
	}
}

/* Large payloads are refused one by one; many are spread over segments. */
static void
test_size(void)
{
	struct world w;
	g_autofree char *text = g_strnfill(ALOG_MAX_PAYLOAD, 'x');
	json_auto_t *big = json_pack("{s:s}", "name", text);
	json_auto_t *fits = NULL;

	world_start(&w, NO_SEAL, &plain);
	pump(&w.h, "");
	g_assert_cmpint(
	    alog_append(w.h.log, 0, 0, RECENT, big), ==, ERR_TOO_LARGE);
	text[ALOG_MAX_PAYLOAD / 2] = '\0';
	fits = json_pack("{s:s}", "name", text);
	for (uint64_t i = 0; i < MAX_TAGS; i++)
		g_assert_cmpint(
		    alog_append(w.h.log, i, i, RECENT, fits), ==, 0);
	pump(&w.h, "");
	g_assert_cmpuint(alog_serial(w.h.log), ==, MAX_TAGS);
	g_assert_null(alog_error(w.h.log));
	world_stop(&w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/alog/lost", test_lost);
	g_test_add_func("/alog/group", test_group);
	g_test_add_func("/alog/seal", test_seal);
	g_test_add_func("/alog/retention", test_retention);
	g_test_add_func("/alog/orphan", test_orphan);
	g_test_add_func("/alog/watch", test_watch);
	g_test_add_func("/alog/refuse", test_refuse);
	g_test_add_func("/alog/size", test_size);
	return g_test_run();
}
