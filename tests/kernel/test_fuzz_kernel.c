/*
 * Random events, sensible and not, against the rules that always hold.  A
 * failure names its seed; FUZZ_SEEDS in the environment sets how many are
 * tried, FUZZ_FIRST the first of them.
 */
#include "base/rng.h"
#include "kernel/kernel.h"
#include "tests/kernel/testconf.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS      150
#define STEPS      400
#define MAX_REQS   512
#define MAX_CALLS  4096
#define N_SERVICES 7
#define PER        3 /* targets of a service */
#define N_TARGETS  (N_SERVICES * PER)
#define HOLD       (30 * USEC_PER_SEC)

static const char *const services[N_SERVICES] = { "encoder", "retriever",
	"reranker", "wattle", "collect", "ledger", "narrow" };
static const char *const pipelines[] = { "label-tag", "ask", "look", "queue",
	"book", "pay", "old-pay", "none" };
static const char *const workspaces[] = { "yard", "flood", "small", "none" };

struct seen_call {
	uint64_t req;
	uint32_t target;
	bool open;
	bool once;
	bool stream;
	int status;
	GString *body;
	char id[96];
};

struct seen_req {
	bool keyed;
	bool answered;
	bool refined;
	bool barred; /* a decision that no delivery up to this one runs */
	bool granted;
	bool waiting; /* for a decision */
	bool effect;  /* a non-repeatable call may have had its effect */
	bool effect_ever;
	uint32_t calls;
	enum outcome outcome;
};

struct fuzz {
	struct kernel *k;
	struct rng rng;
	usec_t now;
	usec_t highest;
	struct seen_req reqs[MAX_REQS + 1];
	uint64_t n_reqs;
	struct seen_call calls[MAX_CALLS + 1];
	uint64_t n_calls;
	bool listed[N_TARGETS];
	bool live[N_TARGETS];
	usec_t left_until[N_TARGETS];
	struct conf *conf;
	struct actions actions;
};

static uint64_t
below(struct fuzz *f, uint64_t n)
{
	return rng_below(&f->rng, n);
}

static void
target_addr(uint32_t i, char out[MAX_ADDR_BYTES])
{
	g_snprintf(out, MAX_ADDR_BYTES, "10.0.%u.%u:80", i / PER, i % PER);
}

static uint32_t
target_of(const char *addr)
{
	char text[MAX_ADDR_BYTES];

	for (uint32_t i = 0; i < N_TARGETS; i++) {
		target_addr(i, text);
		if (strcmp(text, addr) == 0)
			return i;
	}
	g_assert_not_reached();
}

static void
leaves(struct fuzz *f, uint32_t i)
{
	f->live[i] = false;
	if (f->listed[i])
		f->left_until[i] = f->highest + HOLD;
}

/* The id that the target is to echo, out of the body of a call. */
static void
take_id(struct seen_call *x, const struct action_call *c)
{
	const char *key = x->stream ? "\"request_id\":\"" : "\"call_id\":\"";
	const char *at = c->body.p != NULL ? strstr(c->body.p, key) : NULL;

	g_strlcpy(x->id, at != NULL ? at + strlen(key) : "", sizeof(x->id));
	x->id[strcspn(x->id, "\"")] = '\0';
}

static void
saw_call(struct fuzz *f, const struct action_call *c)
{
	struct seen_call *x = &f->calls[c->call];
	struct seen_req *r = &f->reqs[c->req];

	g_assert_cmpuint(c->call, ==, ++f->n_calls);
	g_assert_cmpuint(c->call, <=, MAX_CALLS);
	g_assert_cmpint(c->timeout, >, 0);
	x->req = c->req;
	x->target = target_of(c->addr);
	x->open = true;
	x->once = c->no_resend;
	x->stream = strstr(c->path.p, "completions") != NULL;
	x->body = g_string_new("");
	take_id(x, c);
	g_assert_true(f->live[x->target]);
	g_assert_true(!r->answered || r->outcome == OUTCOME_UNKNOWN);
	r->calls++;
	if (c->no_resend) {
		g_assert_true(r->granted);
		g_assert_false(r->effect);
		g_assert_true(c->new_conn);
		r->effect = r->effect_ever = true;
	}
}

/* Each marker in the body must be of the request itself. */
static void
check_body(uint64_t req, const char *body)
{
	g_autofree char *own =
	    g_strdup_printf("for-%llu;", (unsigned long long)req);

	for (const char *p = body; (p = strstr(p, "for-")) != NULL; p++)
		g_assert_true(g_str_has_prefix(p, own));
}

static void
saw_answer(struct fuzz *f, const struct action_answer *a)
{
	struct seen_req *r = &f->reqs[a->req];

	if (r->answered) {
		g_assert_cmpint(r->outcome, ==, OUTCOME_UNKNOWN);
		g_assert_true(r->effect_ever);
		g_assert_false(r->refined);
		r->refined = true;
	}
	r->answered = true;
	r->outcome = a->outcome;
	if (a->outcome == OUTCOME_NOT_RUN) {
		g_assert_cmpuint(r->calls, ==, 0);
		if (r->keyed)
			g_assert_true(r->barred || r->granted);
	}
	if (a->outcome == OUTCOME_COMPLETE)
		check_body(a->req, a->body.p);
}

static void
saw(struct fuzz *f, const struct action *a)
{
	switch (a->kind) {
	case ACTION_CALL:
		saw_call(f, &a->call);
		break;
	case ACTION_CANCEL:
		g_assert_true(f->calls[a->cancel.call].open);
		f->calls[a->cancel.call].open = false;
		break;
	case ACTION_CLAIM:
	case ACTION_REFUSE:
		g_assert_false(f->reqs[a->claim.req].waiting);
		f->reqs[a->claim.req].waiting = true;
		break;
	case ACTION_SETTLE:
		g_assert_true(f->reqs[a->claim.req].granted);
		if (a->claim.outcome == OUTCOME_NOT_RUN)
			g_assert_false(f->reqs[a->claim.req].effect);
		break;
	case ACTION_CHUNK:
		check_body(a->chunk.req, a->chunk.text.p);
		break;
	case ACTION_ANSWER:
		saw_answer(f, &a->answer);
		break;
	case ACTION_LEAVING:
		g_assert_cmpint(targets_find(kernel_targets(f->k),
				    str_from(a->leaving.addr)),
		    >=, 0);
		break;
	}
}

static void
step(struct fuzz *f, const struct event *ev)
{
	kernel_step(f->k, f->now, ev, &f->actions);
	for (size_t i = 0; i < f->actions.n; i++)
		saw(f, &f->actions.v[i]);
	actions_clear(&f->actions);
}

static void
arrive(struct fuzz *f)
{
	static const char *const bodies[] = { "{}", "{\"text\": \"blue\"}",
		"[1]", "", "{\"text\": " };
	const char *pipe = pipelines[below(f, G_N_ELEMENTS(pipelines))];
	const char *ws = workspaces[below(f, G_N_ELEMENTS(workspaces))];
	g_autofree char *id =
	    g_strdup_printf("r%llu", (unsigned long long)f->n_reqs + 1);
	uint64_t body = below(f, 10) < 8 ? below(f, 2) : below(f, 5);
	struct event ev = { .kind = EVENT_ARRIVE };

	if (f->n_reqs == MAX_REQS)
		return;
	ev.arrive.req = ++f->n_reqs;
	ev.arrive.id = str_from(id);
	ev.arrive.workspace = str_from(ws);
	ev.arrive.pipeline = str_from(pipe);
	if (below(f, 8) > 0)
		ev.arrive.key = STR("01900000-0000-7000-8000-000000000001");
	ev.arrive.timeout = (usec_t)below(f, 4000) * USEC_PER_MSEC;
	ev.arrive.wall = below(f, 2) > 0 ? 0 : 1798761600 * USEC_PER_SEC;
	ev.arrive.stream = below(f, 2) > 0;
	ev.arrive.body = str_from(bodies[body]);
	/* A body that is no object runs in no delivery. */
	f->reqs[f->n_reqs].keyed = ev.arrive.key.n > 0 && body < 2 &&
	    (strcmp(pipe, "book") == 0 || strcmp(pipe, "pay") == 0 ||
		strcmp(pipe, "old-pay") == 0);
	step(f, &ev);
	if (below(f, 20) == 0 && !f->reqs[f->n_reqs].answered)
		step(f, &ev);
}

/* A call that is open, one that is not, or none at all. */
static uint64_t
some_call(struct fuzz *f)
{
	uint64_t id = f->n_calls > 8 && below(f, 4) > 0
	    ? f->n_calls - below(f, 8)
	    : 1 + below(f, f->n_calls + 2);

	for (int i = 0; i < 20 && below(f, 8) > 0; i++) {
		if (id <= f->n_calls && f->calls[id].open)
			break;
		id = 1 + below(f, f->n_calls + 1);
	}
	return id;
}

static void
send_head(struct fuzz *f, uint64_t id)
{
	static const int statuses[] = { 200, 200, 200, 200, 201, 404, 500,
		503 };
	int status = statuses[below(f, G_N_ELEMENTS(statuses))];

	if (id <= f->n_calls && f->calls[id].open)
		f->calls[id].status = status;
	step(f, &(struct event){ .kind = EVENT_HEAD, .head = { id, status } });
}

static void
send_chunk(struct fuzz *f, uint64_t id)
{
	static const char *const junk[] = { "data: {}\n\n", "{", "\n", "null",
		"{\"error\": \"busy\"}", "{\"error\": \"leaving\"}",
		"{\"call_id\": \"x\", \"document\": {}}" };
	struct seen_call *x = id <= f->n_calls ? &f->calls[id] : NULL;
	g_autofree char *text = NULL;
	unsigned long long req = x != NULL ? x->req : 0;

	if (x == NULL || below(f, 4) == 0)
		text = g_strdup(junk[below(f, G_N_ELEMENTS(junk))]);
	else if (x->stream)
		text = g_strdup_printf("data: {\"id\": \"%s\", \"choices\": "
				       "[{\"text\": \"for-%llu;\"%s}]}\n\n",
		    x->id, req,
		    below(f, 3) > 0 ? "" : ", \"finish_reason\": \"stop\"");
	else
		text = g_strdup_printf("{\"call_id\": \"%s\", \"load\": %d, "
				       "\"document\": {\"m\": \"for-%llu;\"}}",
		    x->id, (int)below(f, 9) - 1, req);
	if (x != NULL && x->open)
		g_string_append(x->body, text);
	step(f,
	    &(struct event){
		.kind = EVENT_CHUNK, .chunk = { id, str_from(text) } });
}

/* What the test must know of a call before the kernel learns its end. */
static void
note_end(struct fuzz *f, uint64_t id, bool not_taken)
{
	struct seen_call *x = &f->calls[id];

	if (id > f->n_calls || !x->open)
		return;
	x->open = false;
	if (not_taken && x->once)
		f->reqs[x->req].effect = false;
}

/* Whether a call's answer says that the target did not take it. */
static bool
refused(const struct seen_call *x, const char *answer)
{
	return x->open && x->status == 503 &&
	    str_eq(str_trim(str_from(x->body->str)), str_from(answer));
}

static void
send_end(struct fuzz *f, uint64_t id)
{
	const struct seen_call *x = &f->calls[id <= f->n_calls ? id : 0];
	bool leaving = refused(x, "{\"error\": \"leaving\"}");
	bool busy = refused(x, "{\"error\": \"busy\"}");

	if (leaving)
		leaves(f, x->target);
	note_end(f, id, busy || leaving);
	step(f, &(struct event){ .kind = EVENT_END, .end = { id } });
}

static void
send_fail(struct fuzz *f, uint64_t id)
{
	enum call_failure why = (enum call_failure)below(f, 3);

	note_end(f, id, why == FAILURE_CONNECT);
	step(f, &(struct event){ .kind = EVENT_FAIL, .fail = { id, why } });
}

static void
decide(struct fuzz *f)
{
	struct event ev = { .kind = EVENT_CLAIM };
	uint64_t req = 1 + below(f, f->n_reqs + 1);
	struct seen_req *r = &f->reqs[req <= f->n_reqs ? req : 0];

	for (uint64_t i = 1; i <= f->n_reqs && below(f, 10) > 0; i++) {
		if (!f->reqs[i].waiting)
			continue;
		req = i;
		r = &f->reqs[i];
		break;
	}
	ev.claim.req = req;
	ev.claim.result = below(f, 2) > 0
	    ? CLAIM_GRANTED
	    : (enum claim_result)below(f, CLAIM_UNAVAILABLE + 1);
	ev.claim.outcome = (enum outcome)below(f, 4);
	/* A kept not-run comes with a bar, and only then may be told. */
	if (ev.claim.outcome == OUTCOME_NOT_RUN)
		ev.claim.outcome = OUTCOME_UNKNOWN;
	ev.claim.answer = below(f, 2) > 0 ? STR("{\"a\": 1}") : STR("");
	if (r->waiting) {
		r->granted = ev.claim.result == CLAIM_GRANTED;
		r->barred = ev.claim.result == CLAIM_REFUSED ||
		    ev.claim.result == CLAIM_BARRED;
		r->waiting = false;
	}
	step(f, &ev);
}

static void
list_targets(struct fuzz *f)
{
	struct listed_target list[N_TARGETS] = { 0 };
	size_t n = 0;

	for (uint32_t i = 0; i < N_TARGETS; i++) {
		struct listed_target *t = &list[n];
		uint64_t kind = below(f, 8);

		f->live[i] = kind > 1 && f->left_until[i] <= f->highest;
		f->listed[i] = kind > 0;
		if (kind == 0) {
			f->left_until[i] = 0;
			continue;
		}
		g_strlcpy(t->service, services[i / PER], sizeof(t->service));
		target_addr(i, t->addr);
		g_strlcpy(t->domain, i % 2 > 0 ? "a" : "b", sizeof(t->domain));
		t->state = kind == 1 ? TARGET_LEAVING : TARGET_LIVE;
		n++;
	}
	step(f,
	    &(struct event){ .kind = EVENT_TARGETS, .targets = { list, n } });
}

static void
load(struct fuzz *f)
{
	struct event ev = { .kind = EVENT_LOAD };
	uint32_t i = (uint32_t)below(f, N_TARGETS);
	char addr[MAX_ADDR_BYTES];

	target_addr(i, addr);
	ev.load.addr = str_from(addr);
	ev.load.load = (uint32_t)below(f, 10);
	ev.load.leaving = below(f, 4) == 0;
	if (ev.load.leaving)
		leaves(f, i);
	else
		f->left_until[i] = 0;
	step(f, &ev);
}

static void
pass_time(struct fuzz *f)
{
	static const struct event tick = { .kind = EVENT_TICK };
	uint64_t how = below(f, 20);

	if (how == 0)
		f->now -= (usec_t)below(f, 10 * USEC_PER_SEC);
	else if (how == 1)
		f->now += (usec_t)below(f, 10 * USEC_PER_SEC);
	else
		f->now += (usec_t)below(f, 50 * USEC_PER_MSEC);
	if (f->now > f->highest)
		f->highest = f->now;
	step(f, &tick);
}

static void
random_step(struct fuzz *f)
{
	uint64_t req;

	switch (below(f, 24)) {
	case 0 ... 4:
		arrive(f);
		break;
	case 5 ... 7:
		send_head(f, some_call(f));
		break;
	case 8 ... 11:
		send_chunk(f, some_call(f));
		break;
	case 12 ... 14:
		send_end(f, some_call(f));
		break;
	case 15:
		send_fail(f, some_call(f));
		break;
	case 16 ... 18:
		decide(f);
		break;
	case 19:
		if (below(f, 4) == 0)
			list_targets(f);
		else
			load(f);
		break;
	case 20:
		req = 1 + below(f, f->n_reqs + 2);
		step(f,
		    &(struct event){
			.kind = EVENT_CALLER_GONE, .gone = { req } });
		break;
	default:
		pass_time(f);
		break;
	}
}

/* With nothing more to come, all must end by itself. */
static void
finish(struct fuzz *f)
{
	static const struct event tick = { .kind = EVENT_TICK };
	const struct targets *t = kernel_targets(f->k);
	const struct limits *l = kernel_limits(f->k);

	for (int i = 0; i < 100; i++) {
		f->now = f->highest += USEC_PER_SEC;
		step(f, &tick);
	}
	g_assert_cmpuint(kernel_busy(f->k), ==, 0);
	for (uint64_t i = 1; i <= f->n_reqs; i++)
		g_assert_true(f->reqs[i].answered);
	for (uint64_t i = 1; i <= f->n_calls; i++)
		g_assert_false(f->calls[i].open);
	for (size_t i = 0; i < t->n; i++)
		g_assert_cmpuint(t->v[i].in_flight, ==, 0);
	for (size_t i = 0; i < l->n; i++)
		g_assert_cmpuint(l->v[i].in_flight, ==, 0);
}

static void
fuzz_seed(struct conf *conf, uint64_t seed)
{
	struct fuzz *f = g_new0(struct fuzz, 1);
	struct event ev = { .kind = EVENT_CONF, .conf = { conf } };

	rng_init(&f->rng, seed);
	f->k = kernel_new(&(struct kernel_opts){ seed, "a" });
	step(f, &ev);
	for (int i = 0; i < STEPS; i++)
		random_step(f);
	finish(f);
	for (uint64_t i = 1; i <= f->n_calls; i++)
		g_string_free(f->calls[i].body, true);
	kernel_free(f->k);
	actions_free(&f->actions);
	g_free(f);
}

static uint64_t
setting(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);
	uint64_t v = fallback;

	if (text != NULL)
		g_assert_true(str_parse_u64(str_from(text), &v));
	return v;
}

static void
test_events(void)
{
	uint64_t first = setting("FUZZ_FIRST", 1);
	uint64_t n = setting("FUZZ_SEEDS", SEEDS);
	struct conf *conf = testconf_read("tests/golden/base.ini");

	for (uint64_t seed = first; seed < first + n; seed++) {
		g_test_message("seed %llu", (unsigned long long)seed);
		fuzz_seed(conf, seed);
	}
	conf_unref(conf);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/kernel/fuzz-events", test_events);
	return g_test_run();
}
