#include "entry/target_calls_state.h"
#include "base/log.h"
#include "platform/request.h"
#include "platform/target.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Hosts that are tried for a call before it counts as not sent. */
#define MAX_HOSTS     3
/* An idle connection may be gone, or a report announce its end. */
#define MAX_CHECKS    2
/* A report needs no slot of its target. */
#define CHECK_TIMEOUT (500 * USEC_PER_MSEC)

struct target_calls *
target_calls_new(const struct target_calls_opts *o)
{
	struct target_calls *x = xcalloc(1, sizeof(*x));

	x->o = *o;
	paths_init(&x->paths, o->domain, rng_entropy());
	rng_init(&x->rng, rng_entropy());
	g_queue_init(&x->served);
	return x;
}

void
target_calls_set_hosts(struct target_calls *x, const GArray *peers)
{
	g_autoptr(GArray) v =
	    g_array_new(FALSE, TRUE, sizeof(struct path_host));

	for (guint i = 0; i < peers->len; i++) {
		const struct view_peer *p =
		    &g_array_index(peers, struct view_peer, i);
		struct path_host h = { 0 };

		if (strcmp(p->id, x->o.self) == 0 || *p->operators == '\0')
			continue;
		g_strlcpy(h.id, p->id, sizeof(h.id));
		g_strlcpy(h.addr, p->operators, sizeof(h.addr));
		g_strlcpy(h.domain, p->domain, sizeof(h.domain));
		h.incarnation = p->incarnation;
		g_array_append_val(v, h);
	}
	paths_set_hosts(&x->paths, v);
}

void
target_calls_drain(struct target_calls *x, const struct stopping *stopping)
{
	x->stopping = *stopping;
}

static size_t
count_targets(const struct target_calls *x, const char *service)
{
	const GPtrArray *all = loads_usable(x->o.loads, service);

	return all != NULL ? all->len : 0;
}

static void
note_connected(struct target_calls *x, const char *service)
{
	if (paths_connected(&x->paths, service, clock_now()))
		log_text(LOG_LVL_NOTICE, "path-back",
		    "targets of %s are called directly again", service);
}

static void
note_failed(struct target_calls *x, const char *service, const char *target)
{
	const GPtrArray *all;
	usec_t now = clock_now();

	if (!paths_failed(
		&x->paths, service, target, count_targets(x, service), now))
		return;
	x->counts.paths_lost++;
	log_text(LOG_LVL_WARNING, "path-lost",
	    "no connection to targets of %s, the last to %s: calls are made "
	    "by way of %u other hosts",
	    service, target, x->paths.hosts->len);
	if (paths_is_silent(&x->paths, service, now))
		x->o.on_path_lost(x->o.arg, service);
	/* The path failed, not the targets. */
	all = loads_usable(x->o.loads, service);
	for (guint i = 0; all != NULL && i < all->len; i++)
		loads_unset_aside(all->pdata[i]);
}

void
target_call_free(struct target_call *k)
{
	free((char *)k->o.addr.p);
	free((char *)k->o.head.p);
	free((char *)k->o.call_id.p);
	if (k->o.body != NULL)
		evbuffer_free(k->o.body);
	free(k);
}

static void
end_direct(struct target_call *k)
{
	if (k->direct)
		paths_call_ends(&k->calls->paths, k->service, clock_now());
	k->direct = false;
}

/* Ends the call with a final event. */
static void
finish_call(struct target_call *k, enum dial_event ev, const struct httpmsg *m)
{
	end_direct(k);
	k->o.handler(k->o.arg, ev, m);
	target_call_free(k);
}

static void
on_connected(void *arg)
{
	struct target_call *k = arg;

	note_connected(k->calls, k->service);
}

/*
 * Whether a response to a call with an id lacks it: an earlier response,
 * written once more, must not stand for a call that runs, nor give its caller
 * the answer of another request.
 */
static bool
is_foreign(const struct target_call *k, const struct httpmsg *m)
{
	return k->o.call_id.n > 0 &&
	    httpmsg_get(m, k->o.call_id_name).p == NULL;
}

static void
log_foreign(const struct target_call *k, const struct httpmsg *m)
{
	struct response_info answer;

	platform_response_parse(m, &answer);
	if (answer.not_executed)
		log_text(LOG_LVL_NOTICE, "refusal-without-id",
		    "%s of %s refused a call without naming it", k->target,
		    k->service);
	else
		log_text(LOG_LVL_NOTICE, "answer-without-id",
		    "%s of %s answered a call with status %d without naming it",
		    k->target, k->service, (int)m->parser.status_code);
}

/*
 * Passes on the head of a response, or ends the call, which the target may run,
 * if the response isn't known to be its own.
 */
static void
pass_head(struct target_call *k, const struct httpmsg *m)
{
	if (!is_foreign(k, m)) {
		target_call_note_answer(k, m);
		k->o.handler(k->o.arg, DIAL_HEAD, m);
		return;
	}
	log_foreign(k, m);
	dial_cancel(k->dial);
	k->dial = NULL;
	finish_call(k, DIAL_BROKEN, NULL);
}

/* Whether the report over the call's connection names the entry's start. */
static bool
accept_report(void *arg, const struct httpmsg *m)
{
	struct target_call *k = arg;
	struct target_load *t = loads_find(k->calls->o.loads, k->target);
	struct target_report report;

	paths_call_heard(&k->calls->paths, k->service, clock_now());
	target_call_note_answer(k, m);
	platform_report_parse(m, &report);
	k->start = target_start_decide(&report, k->o.check.number);
	if (k->start != TARGET_START_OTHER)
		return k->start == TARGET_START_LISTED;
	log_text(LOG_LVL_NOTICE, "target-restarted",
	    "%s of %s reports its start at %" PRIu64
	    " ms, its entry at %" PRIu64 " ms",
	    k->target, k->service, report.born_ms, k->o.check.number);
	if (t != NULL && t->entry.born_ms == k->o.check.number)
		loads_saw_start(t, report.born_ms);
	return false;
}

static bool start_by_host(struct target_call *k);

/* Whether the target wants nothing now, as it may have said in its report. */
static bool
is_at_rest(const struct target_call *k)
{
	const struct target_load *t = loads_find(k->calls->o.loads, k->target);

	return t != NULL && clock_now() < t->rest_until;
}

/* Makes a call again whose connection has failed its check, or ends it. */
static void
on_unchecked(struct target_call *k)
{
	end_direct(k);
	if (k->start != TARGET_START_OTHER && k->checks < MAX_CHECKS &&
	    !is_at_rest(k) && clock_now() - k->started_at < CHECK_TIMEOUT) {
		/* On a new connection. */
		k->o.max_idle_time = 1;
		if (target_call_start_direct(k))
			return;
	}
	log_text(LOG_LVL_INFO, "start-unknown",
	    "%s of %s has not reported the start that its entry names",
	    k->target, k->service);
	finish_call(k, DIAL_UNSENT, NULL);
}

static void
on_direct_event(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct target_call *k = arg;
	struct target_calls *x = k->calls;

	if (ev == DIAL_HEAD || ev == DIAL_BODY) {
		paths_call_heard(&x->paths, k->service, clock_now());
		if (ev == DIAL_HEAD)
			pass_head(k, m);
		else
			k->o.handler(k->o.arg, ev, m);
		return;
	}
	if (ev == DIAL_UNCHECKED) {
		on_unchecked(k);
		return;
	}
	if (ev == DIAL_UNSENT) {
		end_direct(k);
		note_failed(x, k->service, k->target);
		if (!k->direct_only &&
		    !paths_is_direct(&x->paths, k->service) && start_by_host(k))
			return;
	}
	finish_call(k, ev, m);
}

bool
target_call_start_direct(struct target_call *k)
{
	struct target_calls *x = k->calls;
	struct dial_opts o = k->o;
	struct buf head = { 0 };

	if (o.check.number != 0) {
		k->checks++;
		k->start = TARGET_START_UNKNOWN;
		platform_report_head(&head, o.addr);
		o.check.head = str_of(&head);
		o.check.timeout = CHECK_TIMEOUT;
		o.check.accept = accept_report;
	}
	o.body = NULL;
	o.handler = on_direct_event;
	o.connected = on_connected;
	o.arg = k;
	k->direct = true;
	paths_call_begins(&x->paths, k->service, clock_now());
	k->dial = dial_start(x->o.dialer, &o);
	buf_free(&head);
	if (k->dial == NULL)
		end_direct(k);
	return k->dial != NULL;
}

void
target_calls_sign(const struct target_calls *x, struct str url, struct str id,
    struct str head, struct evbuffer *rest, char mac[HASH_HEX_LEN + 1])
{
	size_t n = rest != NULL ? evbuffer_get_length(rest) : 0;
	const struct str parts[] = { url, STR("\n"), id, STR("\n"), head,
		{ n > 0 ? (const char *)evbuffer_pullup(rest, -1) : "", n } };

	hash_hmac_parts(
	    str_from(x->o.fleet_key), parts, G_N_ELEMENTS(parts), mac);
}

/* Takes another host after one that didn't make the call. */
static void
try_next_host(struct target_call *k)
{
	if (!start_by_host(k))
		finish_call(k, DIAL_UNSENT, NULL);
}

/* Returns the result that the host reports, or NULL for ANSWERED. */
static const char *
find_failure(const struct httpmsg *m)
{
	struct str result = httpmsg_get(m, STR(RESULT_FIELD));

	if (result.p == NULL && m->parser.status_code == 404)
		return UNABLE;
	if (result.p == NULL && httpmsg_get(m, STR("Retry-After")).p != NULL)
		return NO_ROOM;
	if (result.p == NULL || str_eq(result, STR(NO_PATH)))
		return NO_PATH;
	if (str_eq(result, STR(ANSWERED)))
		return NULL;
	if (str_eq(result, STR(AT_REST)))
		return AT_REST;
	if (str_eq(result, STR(CUT)))
		return CUT;
	return str_eq(result, STR(NOT_SENT)) ? NOT_SENT : BROKEN;
}

/* The host hasn't made the call as the target is cold, and says how long. */
static void
note_cold(struct target_call *k, const struct httpmsg *m)
{
	struct target_load *t = loads_find(k->calls->o.loads, k->target);
	uint64_t left_ms;

	if (!str_parse_u64(httpmsg_get(m, STR(COLD_FIELD)), &left_ms))
		return;
	k->refused_cold = true;
	if (t != NULL)
		target_limits_cold_told(k->calls->o.target_limits, t, left_ms);
}

/* The other host has reported a result other than ANSWERED. */
static void
on_host_failure(struct target_call *k)
{
	if (strcmp(k->failure, UNABLE) == 0) {
		/* Others may make calls, however many don't. */
		k->hosts_tried--;
		paths_host_unable(&k->calls->paths, k->host, clock_now());
		try_next_host(k);
	} else if (strcmp(k->failure, NO_PATH) == 0) {
		paths_host_without(
		    &k->calls->paths, k->host, k->service, clock_now());
		try_next_host(k);
	} else if (strcmp(k->failure, NO_ROOM) == 0) {
		log_text(LOG_LVL_INFO, "host-without-room",
		    "%s has refused a call to %s of %s", k->host, k->target,
		    k->service);
		k->host_able = true;
		paths_host_full(&k->calls->paths, k->host, clock_now());
		try_next_host(k);
	} else if (strcmp(k->failure, AT_REST) == 0) {
		k->host_able = true;
		try_next_host(k);
	} else if (strcmp(k->failure, NOT_SENT) == 0) {
		finish_call(k, DIAL_UNSENT, NULL);
	} else {
		k->way_lost = strcmp(k->failure, CUT) == 0;
		finish_call(k, DIAL_BROKEN, NULL);
	}
}

static void
on_host_event(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct target_call *k = arg;

	switch (ev) {
	case DIAL_HEAD:
		k->failure = find_failure(m);
		if (k->failure == NULL) {
			k->answered = true;
			paths_host_called(&k->calls->paths, k->service);
			pass_head(k, m);
		} else if (strcmp(k->failure, NOT_SENT) == 0) {
			note_cold(k, m);
		}
		return;
	case DIAL_BODY:
		if (k->failure != NULL)
			return;
		break;
	case DIAL_END:
		if (k->failure == NULL) {
			finish_call(k, ev, m);
			return;
		}
		on_host_failure(k);
		return;
	case DIAL_UNSENT:
	case DIAL_UNCHECKED:
		paths_host_failed(&k->calls->paths, k->host, clock_now());
		try_next_host(k);
		return;
	case DIAL_BROKEN:
		/* A host that goes on reports what its target has done. */
		k->way_lost = !k->answered && k->failure == NULL;
		/* Its other connections may be as dead as this one. */
		if (k->way_lost)
			paths_host_failed(
			    &k->calls->paths, k->host, clock_now());
		finish_call(k, ev, m);
		return;
	case DIAL_BAD_RESPONSE:
		finish_call(k, ev, m);
		return;
	}
	k->o.handler(k->o.arg, ev, m);
}

/* Makes the call by way of another host; false if none is usable. */
static bool
start_by_host(struct target_call *k)
{
	struct target_calls *x = k->calls;
	const struct path_host *h = k->hosts_tried < MAX_HOSTS
	    ? paths_choose_host(&x->paths, k->service, clock_now())
	    : NULL;
	struct dial_opts o = k->o;
	struct buf head = { 0 };
	struct buf url = { 0 };
	char mac[HASH_HEX_LEN + 1];
	size_t n;

	if (h == NULL) {
		if (!k->host_able)
			paths_no_host(&x->paths, k->service);
		return false;
	}
	k->hosts_tried++;
	k->failure = NULL;
	g_strlcpy(k->host, h->id, sizeof(k->host));
	o.body = evbuffer_new();
	evbuffer_add(o.body, k->o.head.p, k->o.head.n);
	n = k->o.head.n;
	if (o.shared_body != NULL)
		n += evbuffer_get_length(o.shared_body);
	buf_printf(&url,
	    TARGET_CALLS_URL "?target=%s&sent_ms=%" PRId64 "&max_idle=%" PRId64
			     "&max_conns=%u&head_only=%d&start=%" PRIu64
			     "&cold=%d",
	    k->target, clock_wall() / USEC_PER_MSEC, k->o.max_idle_time,
	    k->o.max_idle_conns, k->o.head_only, k->o.check.number, k->cold);
	target_calls_sign(
	    x, str_of(&url), k->o.call_id, k->o.head, o.shared_body, mac);
	buf_printf(&head,
	    "POST %s HTTP/1.1\r\nHost: %s\r\n" AUTH_FIELD ": %s\r\n" ID_FIELD
	    ": %.*s\r\nContent-Length: %zu\r\n\r\n",
	    url.p, h->addr, mac, STR_FMT(k->o.call_id), n);
	o.addr = str_from(h->addr);
	o.head = str_of(&head);
	o.head_only = false;
	o.check.number = 0;
	/* The other host checks the responses to calls without an id. */
	if (o.call_id.n == 0)
		o.call_id_name = STR("");
	o.connect_timeout = CONNECT_TIMEOUT;
	o.max_idle_conns = 0;
	o.handler = on_host_event;
	o.connected = NULL;
	o.arg = k;
	x->counts.sent_by_host++;
	k->dial = dial_start(x->o.dialer, &o);
	evbuffer_free(o.body);
	buf_free(&head);
	buf_free(&url);
	return k->dial != NULL;
}

struct target_call *
target_call_new(struct target_calls *x, const struct target_load *t,
    const struct dial_opts *o)
{
	struct target_call *k = xcalloc(1, sizeof(*k));

	k->calls = x;
	k->started_at = clock_now();
	k->cold = target_cold_is_cold(&t->cold, k->started_at);
	k->o = *o;
	k->o.addr = (struct str){ str_dup(o->addr), o->addr.n };
	k->o.head = (struct str){ str_dup(o->head), o->head.n };
	k->o.call_id = (struct str){ str_dup(o->call_id), o->call_id.n };
	k->o.body = NULL;
	if (o->body != NULL) {
		k->o.body = evbuffer_new();
		evbuffer_add_buffer(k->o.body, o->body);
		k->o.shared_body = k->o.body;
	}
	g_strlcpy(k->service, t->entry.service, sizeof(k->service));
	g_strlcpy(k->target, t->entry.id, sizeof(k->target));
	return k;
}

struct target_call *
target_call_start(struct target_calls *x, const struct target_load *t,
    const struct dial_opts *o)
{
	struct target_call *k = target_call_new(x, t, o);

	if ((!paths_is_direct(&x->paths, k->service) && start_by_host(k)) ||
	    target_call_start_direct(k))
		return k;
	target_call_free(k);
	return NULL;
}

void
target_call_cancel(struct target_call *k)
{
	struct dial_call *dial = k->dial;

	end_direct(k);
	target_call_free(k);
	dial_cancel(dial);
}

void
target_call_confirm(struct target_call *k)
{
	dial_confirm(k->dial);
}

bool
target_call_has_input(const struct target_call *k)
{
	return dial_has_input(k->dial);
}

usec_t
target_call_written_at(const struct target_call *k)
{
	return dial_written_at(k->dial);
}

bool
target_call_is_held(const struct target_call *k)
{
	return dial_is_held(k->dial);
}

usec_t
target_call_unread(const struct target_call *k)
{
	return k->dial != NULL ? dial_unread(k->dial) : 0;
}

usec_t
target_call_waited(const struct target_call *k)
{
	return dial_waited(k->dial);
}

void
target_call_pause(struct target_call *k, bool paused)
{
	dial_pause(k->dial, paused);
}

void
target_call_keeps(struct target_call *k, size_t n)
{
	dial_keeps(k->dial, n);
}

bool
target_calls_has_way(const struct target_calls *x, const char *service)
{
	return paths_has_way(&x->paths, service);
}

bool
target_call_is_direct(const struct target_call *k)
{
	return k->direct;
}

bool
target_call_lost_way(const struct target_call *k)
{
	return k->way_lost;
}

bool
target_call_refused_cold(const struct target_call *k)
{
	return k->refused_cold;
}

/* Tests of paths. */

struct path_test {
	struct target_calls *calls;
	char service[64];
	char target[64];
};

static void
on_tested(void *arg, bool connected)
{
	struct path_test *test = arg;

	if (test->calls->stopped)
		;
	else if (connected)
		note_connected(test->calls, test->service);
	else
		note_failed(test->calls, test->service, test->target);
	free(test);
}

static void
test_path(struct target_calls *x, const struct target_load *t)
{
	struct path_test *test = xcalloc(1, sizeof(*test));

	test->calls = x;
	g_strlcpy(test->service, t->entry.service, sizeof(test->service));
	g_strlcpy(test->target, t->entry.id, sizeof(test->target));
	dial_test(x->o.dialer, str_from(t->entry.addr), CONNECT_TIMEOUT,
	    on_tested, test);
}

void
target_calls_tick(struct target_calls *x, usec_t now)
{
	GHashTableIter it;
	gpointer name;
	gpointer v;

	target_calls_cut_served(x, now);
	g_hash_table_iter_init(&it, x->o.loads->by_service);
	while (g_hash_table_iter_next(&it, &name, &v)) {
		const GPtrArray *all = v;
		size_t n = paths_tests_due(&x->paths, name, now);
		guint first =
		    (guint)rng_below(&x->rng, all->len > 0 ? all->len : 1);

		for (guint i = 0; i < n && i < all->len; i++)
			test_path(x, all->pdata[(first + i) % all->len]);
	}
}

struct target_calls_counts
target_calls_counts(const struct target_calls *x)
{
	return x->counts;
}

void
target_calls_stop(struct target_calls *x)
{
	x->stopped = true;
	target_calls_end_served(x);
}

void
target_calls_free(struct target_calls *x)
{
	paths_free(&x->paths);
	free(x);
}
