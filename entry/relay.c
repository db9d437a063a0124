#include "entry/relay.h"
#include "base/log.h"
#include "base/rng.h"
#include "entry/inbox.h"
#include "entry/relay_answer.h"
#include "entry/relay_page.h"
#include "entry/request.h"
#include "entry/steward.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/*
 * From a start until asks are sent: with short rounds of gossip nearly all
 * other hosts are known then.
 */
#define SETTLE_TIME (500 * USEC_PER_MSEC)
/* Asks are confirmed within 100 ms: two steps find what is overdue. */
#define STEP        (50 * USEC_PER_MSEC)
/* While nothing waits. */
#define IDLE_STEP   (250 * USEC_PER_MSEC)
/* Limits until a configuration names them. */
#define FIRST_LIMITS           \
	((struct door_limits){ \
	    65536, 1 << 20, 5 * USEC_PER_SEC, 15 * USEC_PER_SEC })
/* A request that says nothing of its time has so long. */
#define DEFAULT_PATIENCE (60 * USEC_PER_SEC)
/* A host without a configuration has one soon, or the caller tries another. */
#define NOT_READY_RETRY  (300 * USEC_PER_MSEC)
/* Another host takes it at once. */
#define DRAINING_RETRY   (10 * USEC_PER_MSEC)
/* A stream goes on for about so long behind its first event. */
#define STREAM_TIME      (2 * USEC_PER_SEC)
/* Before the end, so that the last answers get through. */
#define LAST_ANSWERS     (400 * USEC_PER_MSEC)

struct relay {
	struct relay_opts o;
	struct relay_parts parts;
	struct door *door;
	struct door *ops;
	struct steward *steward;
	struct inbox *inbox;
	struct event *mail_event;
	struct event *step;
	struct view *view;
	GQueue requests;
	struct relay_counts counts;
	pthread_t thread;
	bool started;
	int wake;
	atomic_size_t busy;
	atomic_bool draining;
	atomic_llong end; /* of this process; 0: not stopping */
	atomic_bool stopping;
};

static void
free_request(struct request *r)
{
	struct relay *y = r->relay;

	course_cancel(r);
	event_free(r->timer);
	sse_free(&r->sse);
	routes_unref(r->routes);
	g_queue_unlink(&y->requests, &r->link);
	atomic_fetch_sub(&y->busy, 1);
	free(r);
}

struct repeats *
request_repeats(struct request *r)
{
	GHashTable *all = r->parts->repeats;
	struct repeats *x = g_hash_table_lookup(all, r->service->name);

	if (x == NULL) {
		x = xcalloc(1, sizeof(*x));
		g_hash_table_insert(
		    all, str_dup(str_from(r->service->name)), x);
	}
	return x;
}

/* A status that promises "not run" is only given where that is known. */
static struct rejection
true_rejection(const struct request *r, const struct rejection *why)
{
	struct rejection out = *why;

	if (!r->may_have_run)
		return out;
	if (err_status(out.kind) == HTTP_STATUS_SERVICE_UNAVAILABLE)
		out.kind = ERR_TARGET_FAILED;
	out.retry_after = 0;
	return out;
}

void
request_reject(struct request *r, const struct rejection *why)
{
	struct rejection told = true_rejection(r, why);

	r->relay->counts.rejected[-told.kind]++;
	relay_log_rejection(
	    r->facts.id, &told, r->route->name, clock_now() - r->arrived);
	if (r->head_written)
		door_abort(r->door);
	else
		relay_problem(r->door, r->facts.id, &told);
	free_request(r);
}

void
request_done(struct request *r, const char *outcome)
{
	struct relay_counts *c = &r->relay->counts;
	usec_t took = clock_now() - r->arrived;

	if (strcmp(outcome, "complete") == 0)
		c->complete++;
	else
		c->failed++;
	relay_histogram_add(&c->latency, took);
	relay_log_end(r, outcome, took);
	free_request(r);
}

static void
on_gone(void *arg)
{
	struct request *r = arg;

	LOG(LOG_LVL_INFO, "caller-gone", { "request", r->facts.id });
	r->relay->counts.gone++;
	forward_cancel(r);
	free_request(r);
}

/* The caller's patience or the route's timeout is over. */
static void
on_end(evutil_socket_t fd, short what, void *arg)
{
	struct request *r = arg;
	bool sent = r->call != NULL || r->may_have_run;

	(void)fd;
	(void)what;
	forward_cancel(r);
	request_reject(r,
	    &(struct rejection){
		sent ? ERR_DEADLINE : ERR_NO_TIME, 0, "its time is over" });
}

static void
set_timer(struct request *r, usec_t now)
{
	usec_t left = r->end > now ? r->end - now : 0;
	struct timeval tv = { left / USEC_PER_SEC, left % USEC_PER_SEC };

	r->timer = evtimer_new(r->parts->base, on_end, r);
	evtimer_add(r->timer, &tv);
}

static int
rank_of(const struct route *route, const struct key_holder *h)
{
	return h != NULL && h->rank != RANK_NONE ? h->rank : route->rank;
}

/* Makes the request's record and starts its course. */
static void
accept_request(struct relay *y, struct door_request *q,
    const struct request_facts *f, const struct route *route,
    const struct key_holder *holder)
{
	struct request *r = xcalloc(1, sizeof(*r));
	usec_t patience = f->patience > 0 ? f->patience : DEFAULT_PATIENCE;

	r->relay = y;
	r->parts = &y->parts;
	r->door = q;
	r->facts = *f;
	r->routes = routes_ref(y->view->routes);
	r->route = route;
	r->holder = holder;
	r->service =
	    routes_service_at(r->routes, route_pick_service(route, f->id));
	r->rank = rank_of(route, holder);
	r->arrived = door_arrived(q);
	r->aim = r->arrived + route->objective;
	r->end = r->arrived +
	    (route->timeout > 0 && route->timeout < patience ? route->timeout
							     : patience);
	r->link.data = r;
	g_queue_push_tail_link(&y->requests, &r->link);
	atomic_fetch_add(&y->busy, 1);
	set_timer(r, clock_now());
	door_own(q, on_gone, r);
	repeats_request(request_repeats(r), &y->parts.rule, clock_now());
	course_start(r);
}

static void
reject_early(struct relay *y, struct door_request *q, struct str id,
    const struct rejection *why)
{
	y->counts.rejected[-why->kind]++;
	relay_log_rejection(id, why, "", 0);
	relay_problem(q, id, why);
}

/* Whether a request that comes now ends before this process does. */
static bool
ends_in_time(const struct relay *y, const struct route *r, usec_t now)
{
	usec_t end = atomic_load(&((struct relay *)y)->end);
	usec_t need = 2 * r->objective;

	if (r->kind == ROUTE_STREAM)
		need += STREAM_TIME;
	return end == 0 || now + need < end - LAST_ANSWERS;
}

static void
on_request(void *arg, struct door_request *q)
{
	struct relay *y = arg;
	struct routes *t = y->view != NULL ? y->view->routes : NULL;
	struct request_facts f;
	const struct route *route;
	const struct key_holder *h = NULL;
	struct rejection why = { ERR_OK, 0, "" };

	y->counts.arrived++;
	if (!platform_request(door_message(q), &f)) {
		why = (struct rejection){ ERR_BAD_HEADER, 0,
			"the attempt's id or the counts of pieces are "
			"missing or malformed" };
		reject_early(y, q, f.id, &why);
		return;
	}
	if (t == NULL) {
		why = (struct rejection){ ERR_NOT_READY, NOT_READY_RETRY,
			"no configuration is known yet" };
		reject_early(y, q, f.id, &why);
		return;
	}
	route = routes_find(t, f.host, httpmsg_target(door_message(q)));
	if (route == NULL) {
		why = (struct rejection){ ERR_NO_PIPELINE, 0,
			"no route has this host and path" };
		reject_early(y, q, f.id, &why);
		return;
	}
	h = routes_holder(t, f.key);
	if (t->keyed && !route->open && h == NULL) {
		why = (struct rejection){ ERR_BAD_TOKEN, 0,
			"the key is not known" };
		reject_early(y, q, f.id, &why);
		return;
	}
	if (!ends_in_time(y, route, clock_now())) {
		why = (struct rejection){ ERR_DRAINING, DRAINING_RETRY,
			"this host is stopping" };
		reject_early(y, q, f.id, &why);
		return;
	}
	accept_request(y, q, &f, route, h);
}

/* Connections to targets that are not listed any more are closed. */
static void
forget_left(struct relay *y, const GArray *before)
{
	for (guint i = 0; i < before->len; i++) {
		const struct target_entry *b =
		    &g_array_index(before, struct target_entry, i);
		const struct target *t = loads_find(&y->parts.loads, b->id);

		if (t == NULL || !t->listed)
			dial_forget(y->parts.dialer, str_from(b->addr));
	}
}

static void
take_view(struct relay *y, struct view *v)
{
	const struct routes *t = v->routes;

	log_text(LOG_LVL_INFO, "view-in-force",
	    "version %" PRIu64 ", %u targets, %u hosts, store %s",
	    t != NULL ? t->version : 0, v->targets->len, v->peers->len,
	    v->store_away ? "away" : "answering");
	loads_update(&y->parts.loads, v->targets);
	asks_peers(y->parts.asks, v->peers);
	home_unsettle(y->parts.home, clock_now());
	y->parts.rule.hosts = v->peers->len > 0 ? v->peers->len : 1;
	if (t != NULL) {
		door_limits(y->door,
		    &(struct door_limits){ t->head_bytes, t->body_bytes,
			t->head_timeout, t->idle_timeout });
		home_routes(y->parts.home, v->routes);
	}
	if (y->view != NULL)
		forget_left(y, y->view->targets);
	view_free(y->view);
	y->view = v;
}

static void
take_letter(struct relay *y, const peer_letter *l)
{
	switch (l->body.kind) {
	case PEER_PIECE_ASK:
		home_ask(y->parts.home, l->rpc, &l->body.peer_body_u.piece_ask);
		break;
	case PEER_PIECE_REPLY:
		asks_reply(
		    y->parts.asks, l->rpc, &l->body.peer_body_u.piece_reply);
		break;
	case PEER_PIECE_FREE:
		home_release(y->parts.home,
		    str_from(l->body.peer_body_u.piece_free.handles));
		break;
	case PEER_GOSSIP:
	case PEER_CLAIM:
	case PEER_VERDICT:
	case PEER_SHARE_REPORT:
	case PEER_SHARE_REPLY:
	case PEER_FEED:
		break; /* the steward's */
	}
}

static void
on_mail(evutil_socket_t fd, short what, void *arg)
{
	struct relay *y = arg;
	struct mail *m;
	uint64_t n;

	(void)what;
	if (read(fd, &n, sizeof(n)) < 0)
		return;
	while ((m = inbox_take(y->inbox)) != NULL) {
		switch (m->kind) {
		case MAIL_VIEW:
			take_view(y, m->view);
			m->view = NULL;
			break;
		case MAIL_LETTER:
			take_letter(y, &m->letter);
			break;
		case MAIL_DRAIN:
			door_drain(y->door);
			home_drain(y->parts.home);
			break;
		case MAIL_CLAIM:
		case MAIL_FETCHED:
		case MAIL_LEFT:
			break; /* never sent to this thread */
		}
		mail_free(m);
	}
	if (atomic_load(&y->stopping))
		event_base_loopbreak(y->parts.base);
}

static void
wake(struct relay *y)
{
	uint64_t one = 1;

	if (write(y->wake, &one, sizeof(one)) < 0)
		log_text(LOG_LVL_ERR, "wake-failed", "the relay's eventfd");
}

/* Closes idle connections, and at last what has not been sent anywhere. */
static void
stop_step(struct relay *y, usec_t now)
{
	usec_t end = atomic_load(&y->end);
	GList *next;

	if (end == 0)
		return;
	door_close_idle(y->door);
	if (now < end - LAST_ANSWERS)
		return;
	for (GList *l = y->requests.head; l != NULL; l = next) {
		struct request *r = l->data;

		next = l->next;
		if (r->call == NULL && !r->may_have_run)
			request_reject(r,
			    &(struct rejection){ ERR_DRAINING, DRAINING_RETRY,
				"this host is stopping" });
	}
}

static void
on_step(evutil_socket_t fd, short what, void *arg)
{
	struct relay *y = arg;
	usec_t now = clock_now();
	bool waiting = asks_tick(y->parts.asks, now);
	usec_t next;
	struct timeval tv;

	(void)fd;
	(void)what;
	stop_step(y, now);
	waiting = home_tick(y->parts.home, now) || waiting;
	dialer_sweep(y->parts.dialer, now);
	next = waiting ? STEP : IDLE_STEP;
	tv = (struct timeval){ next / USEC_PER_SEC, next % USEC_PER_SEC };
	evtimer_add(y->step, &tv);
}

static void
on_local_reply(void *arg, const peer_piece_reply *r)
{
	struct relay *y = arg;

	asks_reply(y->parts.asks, NULL, r);
}

static const char *
on_owner(void *arg, const char *service)
{
	struct relay *y = arg;

	return asks_home(y->parts.asks, service);
}

/* Tells each maker's home of the results that are not needed any more. */
static void
on_fetched(void *arg, struct str handles)
{
	struct relay *y = arg;
	struct str one;

	while (handles.n > 0 && str_cut(&handles, ',', &one)) {
		struct str rest = one;
		struct str addr;
		const char *service;

		if (!str_cut(&rest, '/', &addr))
			continue;
		service = loads_service_at(&y->parts.loads, addr);
		if (*service != '\0')
			asks_release(y->parts.asks, service, one);
	}
}

/* Readiness and metrics. */
static void
on_ops(void *arg, struct door_request *q)
{
	struct relay *y = arg;
	struct str target = httpmsg_target(door_message(q));
	bool ready = y->view != NULL && y->view->routes != NULL &&
	    !atomic_load(&y->draining);
	struct buf body = { 0 };
	int status = 404;

	if (str_eq(target, STR("/readyz")) ||
	    str_eq(target, STR(PLATFORM_READY_PATH))) {
		status = ready ? 200 : 503;
		buf_put(&body, ready ? STR("ready\n") : STR("not ready\n"));
	} else if (str_eq(target, STR("/metrics"))) {
		status = 200;
		relay_page(&body,
		    &(struct relay_page){
			.counts = &y->counts,
			.door = door_counts(y->door),
			.dial = dialer_counts(y->parts.dialer),
			.home = home_counts(y->parts.home),
			.steward = steward_counts(y->steward),
			.busy = atomic_load(&y->busy),
			.ready = ready,
		    });
	}
	door_answer(q,
	    &(struct door_answer){
		.status = status,
		.fields = "Content-Type: text/plain\r\n",
		.body = str_of(&body),
	    });
	buf_free(&body);
}

static int
open_doors(struct relay *y, struct err *e)
{
	const struct settings *s = y->o.settings;

	y->door = door_new(
	    &(struct door_opts){
		.base = y->parts.base,
		.addr = s->listen,
		.limits = FIRST_LIMITS,
		.request = on_request,
		.arg = y,
	    },
	    e);
	if (y->door == NULL)
		return e->kind;
	y->ops = door_new(
	    &(struct door_opts){
		.base = y->parts.base,
		.addr = s->operators,
		.limits = FIRST_LIMITS,
		.request = on_ops,
		.arg = y,
	    },
	    e);
	return y->ops != NULL ? 0 : e->kind;
}

struct relay *
relay_new(const struct relay_opts *o, struct err *e)
{
	struct relay *y = xcalloc(1, sizeof(*y));
	struct relay_parts *p = &y->parts;

	y->o = *o;
	g_queue_init(&y->requests);
	p->base = event_base_new();
	p->dialer = dialer_new(p->base);
	p->rule = (struct repeats_rule){
		.ratio = o->settings->retry_percent / 100.0,
		.slack = o->settings->retry_slack,
		.window = o->settings->retry_window,
		.hosts = 1,
	};
	loads_init(&p->loads, o->settings->failure_domain, rng_entropy());
	p->repeats = g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
	usual_init(&p->times);
	y->inbox = inbox_new();
	y->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	y->mail_event =
	    event_new(p->base, y->wake, EV_READ | EV_PERSIST, on_mail, y);
	event_add(y->mail_event, NULL);
	y->step = evtimer_new(p->base, on_step, y);
	if (open_doors(y, e) != 0) {
		relay_free(y);
		return NULL;
	}
	return y;
}

static void *
run(void *arg)
{
	struct relay *y = arg;

	on_step(-1, 0, y);
	event_base_dispatch(y->parts.base);
	return NULL;
}

void
relay_start(struct relay *y, struct steward *s)
{
	struct relay_parts *p = &y->parts;

	y->steward = s;
	p->asks = asks_new(&(struct asks_opts){
	    .rpc = steward_rpc(s),
	    .self = y->o.settings->id,
	    .incarnation = y->o.incarnation,
	    .settle = str_from(y->o.settings->peers).n > 0 ? SETTLE_TIME : 0,
	});
	p->home = home_new(&(struct home_opts){
	    .base = p->base,
	    .dialer = p->dialer,
	    .loads = &p->loads,
	    .rpc = steward_rpc(s),
	    .reply = on_local_reply,
	    .owner = on_owner,
	    .fetched = on_fetched,
	    .arg = y,
	});
	asks_set_home(p->asks, p->home);
	y->started = true;
	pthread_create(&y->thread, NULL, run, y);
}

void
relay_view(struct relay *y, struct view *v)
{
	struct mail *m = mail_new(MAIL_VIEW);

	m->view = v;
	inbox_put(y->inbox, m);
	wake(y);
}

void
relay_letter(struct relay *y, peer_letter *l)
{
	struct mail *m = mail_new(MAIL_LETTER);

	m->letter = *l;
	memset(l, 0, sizeof(*l));
	inbox_put(y->inbox, m);
	wake(y);
}

void
relay_drain(struct relay *y)
{
	atomic_store(&y->draining, true);
	inbox_put(y->inbox, mail_new(MAIL_DRAIN));
	wake(y);
}

void
relay_close(struct relay *y, usec_t end)
{
	atomic_store(&y->end, end);
}

size_t
relay_busy(const struct relay *y)
{
	return atomic_load(&((struct relay *)y)->busy);
}

void
relay_stop(struct relay *y)
{
	if (!y->started)
		return;
	atomic_store(&y->stopping, true);
	wake(y);
	pthread_join(y->thread, NULL);
}

void
relay_free(struct relay *y)
{
	struct relay_parts *p = &y->parts;

	for (GList *l = y->requests.head, *next; l != NULL; l = next) {
		struct request *r = l->data;

		next = l->next;
		forward_cancel(r);
		free_request(r);
	}
	if (y->door != NULL)
		door_free(y->door);
	if (y->ops != NULL)
		door_free(y->ops);
	if (p->home != NULL)
		home_free(p->home);
	if (p->asks != NULL)
		asks_free(p->asks);
	dialer_free(p->dialer);
	loads_free(&p->loads);
	g_hash_table_destroy(p->repeats);
	usual_free(&p->times);
	event_free(y->mail_event);
	event_free(y->step);
	/* Lets go of what deferred callbacks still hold. */
	event_base_loop(p->base, EVLOOP_NONBLOCK);
	event_base_free(p->base);
	view_free(y->view);
	inbox_free(y->inbox);
	close(y->wake);
	free(y);
}
