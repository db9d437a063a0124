/*
 * Table-driven tests of the append-only log on an in-memory key-value service.
 *
 * Guards against records that are lost, applied twice or in different order on
 * two hosts: by lost responses, concurrent appends, sealing, retention and late
 * watch events.
 */
#include "tests/kernel/logstore.h"

#include <glib.h>
#include <string.h>

#define HEAD      "log"
#define NO_SEAL   (64 * 1024) /* not reached by short records */
#define MAX_TAGS  64
#define NOT_DONE  (-1)
#define DENY_CODE 7
#define OLD_TIME  1
#define RECENT    1000

/* A process with its log; applied holds the names of the applied records. */
struct host {
	struct alog *log;
	struct logstore *store;
	GString *applied;
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
	    h->applied, json_string_value(json_object_get(payload, "name")));
}

static json_t *
snapshot(void *arg)
{
	return json_string(((struct host *)arg)->applied->str);
}

static void
restore(void *arg, const json_t *state)
{
	g_string_assign(
	    ((struct host *)arg)->applied, json_string_value(state));
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

static const struct alog_ops plain_ops = { .admit = admit,
	.apply = apply,
	.keep_from = keep_from,
	.dropped = dropped };
static const struct alog_ops snapshot_ops = {
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

	*h = (struct host){ .store = s, .applied = g_string_new(NULL) };
	for (size_t i = 0; i < MAX_TAGS; i++)
		h->result[i] = NOT_DONE;
	h->log = alog_new(&o);
}

static void
host_stop(struct host *h)
{
	alog_free(h->log);
	g_string_free(h->applied, TRUE);
}

static void
take_completions(struct host *h)
{
	struct alog_completion d;

	while (alog_completion(h->log, &d)) {
		g_assert_cmpint(h->result[d.tag], ==, NOT_DONE);
		h->result[d.tag] = (int)d.result;
		if (d.result == ALOG_DENIED)
			h->code = d.code;
	}
}

/* A key-value service with two hosts. */
struct fixture {
	struct logstore s;
	struct host h;
	struct host r; /* reads, and in some tests appends too */
};

static void
fixture_init(struct fixture *f, size_t seal_bytes, const struct alog_ops *ops)
{
	logstore_init(&f->s);
	host_start(&f->h, &f->s, 1, seal_bytes, ops);
	host_start(&f->r, &f->s, 2, seal_bytes, ops);
}

static void
fixture_free(struct fixture *f)
{
	host_stop(&f->h);
	host_stop(&f->r);
	logstore_free(&f->s);
}

/*
 * Carries out all requests.  Each character of faults stands for one request:
 * '.' succeeds, 'b' is lost before it takes effect, 'a' is lost after that.
 * All further requests succeed.
 */
static void
run_requests(struct host *h, const char *faults)
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
	take_completions(h);
}

static void
append(struct host *h, uint64_t tag, const char *name, uint64_t conflict,
    usec_t time)
{
	json_auto_t *p = json_pack("{s:s}", "name", name);

	g_assert_cmpint(alog_append(h->log, tag, conflict, time, p), ==, 0);
}

/*
 * A request whose response was lost is repeated, but a swap only if the head
 * shows that it did not take effect.
 */
static void
test_lost_response(void)
{
	/* Requests: a read, a swap, then any that the log needs. */
	static const struct {
		const char *faults;
		bool concurrent; /* another host appends meanwhile */
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
		struct fixture f;
		const char *rest = cases[i].faults;

		fixture_init(&f, NO_SEAL, &plain_ops);
		append(&f.h, 0, "x", 1, RECENT);
		if (cases[i].concurrent) {
			struct alog_request q[2];

			run_requests(&f.r, "");
			for (size_t j = 0; j < 2; j++) {
				struct alog_response a = { .status =
							       ALOG_LOST };

				g_assert_true(alog_request(f.h.log, &q[j]));
				if (rest[j] != 'b')
					a = logstore_do(&f.s, &q[j]);
				a.id = q[j].id;
				if (rest[j] != '.')
					a.status = ALOG_LOST;
				if (j == 1) {
					append(&f.r, 0, "r", 2, RECENT);
					run_requests(&f.r, "");
				}
				alog_response(f.h.log, &a);
				alog_request_free(&q[j]);
			}
			rest = "";
		}
		run_requests(&f.h, rest);
		run_requests(&f.r, "");
		g_assert_cmpint(f.h.result[0], ==, ALOG_ACCEPTED);
		g_assert_cmpuint(
		    alog_counts(f.h.log).requests, ==, cases[i].requests);
		g_assert_cmpstr(f.h.applied->str, ==, cases[i].log);
		fixture_free(&f);
	}
}

/*
 * Queued appends go into one swap together, but only one for each conflict key.
 */
static void
test_batch(void)
{
	struct fixture f;
	json_auto_t *deny = json_pack("{s:s, s:b}", "name", "d", "deny", 1);

	fixture_init(&f, NO_SEAL, &plain_ops);
	run_requests(&f.h, "");
	append(&f.h, 0, "a", 1, RECENT);
	append(&f.h, 1, "b", 2, RECENT);
	append(&f.h, 2, "c", 3, RECENT);
	append(&f.h, 3, "B", 2, RECENT);
	append(&f.h, 4, "w", 4, RECENT);
	alog_append(f.h.log, 5, 5, RECENT, deny);
	g_assert_true(alog_cancel(f.h.log, 4));
	g_assert_false(alog_cancel(f.h.log, 0));
	run_requests(&f.h, "");
	g_assert_cmpstr(f.h.applied->str, ==, "abcB");
	g_assert_cmpint(f.h.result[4], ==, ALOG_CANCELLED);
	g_assert_cmpint(f.h.result[5], ==, ALOG_DENIED);
	g_assert_cmpint(f.h.code, ==, DENY_CODE);
	g_assert_cmpuint(alog_counts(f.h.log).swaps, ==, 3);
	g_assert_cmpuint(alog_counts(f.h.log).requests, ==, 4);
	fixture_free(&f);
}

/* The number of keys besides the head. */
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
		run_requests(h, faults);
	}
}

/*
 * Sealing loses no record, whatever response is lost; a host that starts reads
 * all segments unless the head holds a snapshot.
 */
static void
test_seal(void)
{
	static const struct {
		const struct alog_ops *ops;
		const char *faults; /* faults in the requests of each append */
		bool reads_segments;
	} cases[] = {
		{ &plain_ops, "", true },
		{ &plain_ops, "a", true },
		{ &plain_ops, "b", true },
		{ &plain_ops, ".a", true },
		{ &snapshot_ops, "", false },
		{ &snapshot_ops, ".a", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f;
		struct host fresh;

		fixture_init(&f, 1, cases[i].ops);
		run_requests(&f.h, "");
		append_all(&f.h, "a", RECENT, cases[i].faults);
		run_requests(&f.r, "");
		append_all(&f.h, "bcdefghijklmnop", RECENT, cases[i].faults);
		g_assert_cmpstr(f.h.applied->str, ==, "abcdefghijklmnop");
		g_assert_cmpuint(n_segments(&f.s), >, 1);
		alog_refresh(f.r.log);
		run_requests(&f.r, "");
		g_assert_cmpstr(f.r.applied->str, ==, "abcdefghijklmnop");
		host_start(&fresh, &f.s, 3, 1, cases[i].ops);
		run_requests(&fresh, "");
		g_assert_cmpstr(fresh.applied->str, ==, "abcdefghijklmnop");
		g_assert_cmpuint(alog_counts(fresh.log).requests, ==,
		    cases[i].reads_segments ? n_segments(&f.s) + 1 : 1);
		host_stop(&fresh);
		fixture_free(&f);
	}
}

/*
 * Old segments are removed from the head and then deleted; a host that has not
 * read them skips them.
 */
static void
test_retention(void)
{
	struct fixture f;

	fixture_init(&f, 1, &plain_ops);
	run_requests(&f.r, "");
	append_all(&f.h, "abcdef", OLD_TIME, "");
	append_all(&f.h, "ghijkl", RECENT, "");
	g_assert_cmpuint(f.s.deletes, ==, 0);
	f.h.keep_from = RECENT;
	append_all(&f.h, "m", RECENT, "");
	g_assert_cmpuint(f.s.deletes, >, 0);
	g_assert_cmpuint(n_segments(&f.s), >, 0);
	alog_refresh(f.r.log);
	run_requests(&f.r, "");
	g_assert_cmpuint(alog_serial(f.r.log), ==, alog_serial(f.h.log));
	g_assert_true(g_str_has_suffix(f.r.applied->str, "ghijklm"));
	g_assert_cmpint(f.r.dropped, ==, RECENT);
	g_assert_true(g_str_has_suffix(f.h.applied->str, f.r.applied->str));
	fixture_free(&f);
}

/*
 * A segment is deleted if another writer replaced the head before it was linked
 * there.
 */
static void
test_orphan(void)
{
	struct fixture f;
	struct alog_request q;
	struct alog_response a;

	fixture_init(&f, 1, &plain_ops);
	append_all(&f.h, "a", RECENT, "");
	run_requests(&f.r, "");
	append(&f.h, 1, "b", 1, RECENT);
	g_assert_true(alog_request(f.h.log, &q));
	g_assert_cmpint(q.kind, ==, ALOG_CREATE);
	a = logstore_do(&f.s, &q);
	append_all(&f.r, "z", RECENT, "");
	alog_response(f.h.log, &a);
	run_requests(&f.h, "");
	alog_request_free(&q);
	g_assert_cmpstr(f.h.applied->str, ==, "azb");
	g_assert_cmpuint(f.s.deletes, ==, 1);
	fixture_free(&f);
}

/* A watch event replaces a read; a repeated or outdated one is ignored. */
static void
test_watch(void)
{
	struct fixture f;
	const struct logvalue *v;
	g_autofree char *old = NULL;

	fixture_init(&f, NO_SEAL, &plain_ops);
	run_requests(&f.r, "");
	append_all(&f.h, "a", RECENT, "");
	v = logstore_get(&f.s, HEAD);
	old = g_strdup(v->text->str);
	alog_watch_event(f.r.log, v->revision, str_from(old));
	append_all(&f.h, "b", RECENT, "");
	v = logstore_get(&f.s, HEAD);
	alog_watch_event(f.r.log, v->revision, str_from(v->text->str));
	alog_watch_event(f.r.log, v->revision, str_from(v->text->str));
	alog_watch_event(f.r.log, v->revision - 1, str_from(old));
	g_assert_cmpstr(f.r.applied->str, ==, "ab");
	g_assert_cmpuint(alog_counts(f.r.log).requests, ==, 1);
	fixture_free(&f);
}

#define HEAD_OF(serial, first, segments)                            \
	"{\"version\":1,\"serial\":" serial ",\"first\":" first "," \
	"\"newest\":[],\"segments\":[" segments "]}"
#define EMPTY_HEAD HEAD_OF("0", "1", "")
#define SEGMENT    "{\"name\":\"log/x\",\"first\":1,\"last\":3,\"time\":0}"

/* A log that this build cannot read stops, and nothing is written over it. */
static void
test_unreadable(void)
{
	static const struct {
		const char *before; /* a head that is read before */
		const char *head;   /* NULL: the head is deleted */
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
		struct fixture f;

		fixture_init(&f, NO_SEAL, &plain_ops);
		if (cases[i].before != NULL) {
			logstore_put(&f.s, HEAD, str_from(cases[i].before));
			run_requests(&f.h, "");
		}
		if (cases[i].head != NULL)
			logstore_put(&f.s, HEAD, str_from(cases[i].head));
		else
			g_hash_table_remove(f.s.keys, HEAD);
		alog_refresh(f.h.log);
		append(&f.h, 0, "a", 1, RECENT);
		run_requests(&f.h, "");
		g_assert_nonnull(alog_error(f.h.log));
		g_assert_nonnull(
		    strstr(alog_error(f.h.log)->text, cases[i].error));
		g_assert_cmpint(f.h.result[0], ==, ALOG_CANCELLED);
		append(&f.h, 1, "b", 1, RECENT);
		alog_refresh(f.h.log);
		run_requests(&f.h, "");
		g_assert_cmpint(f.h.result[1], ==, ALOG_CANCELLED);
		g_assert_cmpuint(f.s.revision, ==,
		    (cases[i].before != NULL) + (cases[i].head != NULL));
		fixture_free(&f);
	}
}

/*
 * A payload above the limit is rejected; many payloads are spread over
 * segments.
 */
static void
test_size(void)
{
	struct fixture f;
	g_autofree char *text = g_strnfill(ALOG_MAX_PAYLOAD, 'x');
	json_auto_t *big = json_pack("{s:s}", "name", text);
	json_auto_t *fits = NULL;

	fixture_init(&f, NO_SEAL, &plain_ops);
	run_requests(&f.h, "");
	g_assert_cmpint(
	    alog_append(f.h.log, 0, 0, RECENT, big), ==, ERR_TOO_LARGE);
	text[ALOG_MAX_PAYLOAD / 2] = '\0';
	fits = json_pack("{s:s}", "name", text);
	for (uint64_t i = 0; i < MAX_TAGS; i++)
		g_assert_cmpint(
		    alog_append(f.h.log, i, i, RECENT, fits), ==, 0);
	run_requests(&f.h, "");
	g_assert_cmpuint(alog_serial(f.h.log), ==, MAX_TAGS);
	g_assert_null(alog_error(f.h.log));
	fixture_free(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/alog/lost-response", test_lost_response);
	g_test_add_func("/alog/batch", test_batch);
	g_test_add_func("/alog/seal", test_seal);
	g_test_add_func("/alog/retention", test_retention);
	g_test_add_func("/alog/orphan", test_orphan);
	g_test_add_func("/alog/watch", test_watch);
	g_test_add_func("/alog/unreadable", test_unreadable);
	g_test_add_func("/alog/size", test_size);
	return g_test_run();
}
