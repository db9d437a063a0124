#include "entry/target_calls.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/rng.h"
#include "kernel/paths.h"
#include "platform/request.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Covers many round trips between failure domains. */
#define CONNECT_TIMEOUT (150 * USEC_PER_MSEC)
/* Hosts that are tried for a call before it counts as not sent. */
#define MAX_HOSTS       3
/* Requests of other hosts that are older, or newer, are rejected. */
#define MAX_AGE         (30 * USEC_PER_SEC)
/* A response is aborted when more bytes than this are unsent. */
#define MAX_BACKLOG     ((size_t)4 * 1024 * 1024)

/* Fields of the requests and responses between hosts. */
#define AUTH_FIELD      "Sequoia-Call-Auth"
#define ID_FIELD        "Sequoia-Call-Id"
#define RESULT_FIELD    "Sequoia-Call-Result"

/* Values of RESULT_FIELD; a host that doesn't make calls sets none. */
#define ANSWERED        "answered" /* the rest is the target's response */
#define NO_PATH         "no-path"  /* of the host to the target: not sent */
#define AT_REST         "at-rest"  /* the target wants nothing of the host */
#define NOT_SENT        "not-sent"
#define BROKEN          "broken"

struct target_calls {
	struct target_calls_opts o;
	struct paths paths;
	struct rng rng;
	GQueue served; /* struct served_call */
	bool draining;
	bool stopped;
	struct target_calls_counts counts;
};

struct target_call {
	struct target_calls *calls;
	struct dial_call *dial;
	struct dial_opts o; /* the strings and the body are owned by the call */
	char service[64];
	char target[64];
	bool direct;
	bool direct_only;
	char host[MAX_NAME_BYTES + 1]; /* that makes the call; or empty */
	uint32_t hosts_tried;
	const char *failure; /* result other than ANSWERED; or NULL */
};

/* A call that is made for another host. */
struct served_call {
	struct target_calls *calls;
	struct httpd_request *q;
	struct target_call *call;
	char target[64];
	bool head_written;
	GList link;
};

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
		g_array_append_val(v, h);
	}
	paths_set_hosts(&x->paths, v);
}

void
target_calls_drain(struct target_calls *x)
{
	x->draining = true;
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

/* A target has answered a call, to this host or by way of another one. */
static void
note_answer(struct target_call *k, const struct httpmsg *m)
{
	struct target_load *t = loads_find(k->calls->o.loads, k->target);
	struct response_info answer;

	platform_response_parse(m, &answer);
	if (t == NULL)
		return;
	if (answer.leaving && !t->leaving) {
		log_text(LOG_LVL_INFO, "target-leaving",
		    "%s of %s says so in its answer", k->target, k->service);
		loads_mark_leaving(k->calls->o.loads, t);
	}
	if (answer.rest == 0)
		return;
	loads_rest(t, answer.rest, clock_now());
	log_text(LOG_LVL_INFO, "target-rests",
	    "%s of %s wants nothing from this host for %" PRId64 " ms",
	    k->target, k->service, answer.rest / USEC_PER_MSEC);
}

static void
free_call(struct target_call *k)
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
	free_call(k);
}

static struct evbuffer *
copy_body(const struct target_call *k)
{
	struct evbuffer *b = evbuffer_new();

	if (k->o.body != NULL)
		evbuffer_add(b, evbuffer_pullup(k->o.body, -1),
		    evbuffer_get_length(k->o.body));
	return b;
}

static void
on_connected(void *arg)
{
	struct target_call *k = arg;

	note_connected(k->calls, k->service);
}

static bool start_by_host(struct target_call *k);

static void
on_direct_event(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct target_call *k = arg;
	struct target_calls *x = k->calls;

	if (ev == DIAL_HEAD || ev == DIAL_BODY) {
		paths_call_heard(&x->paths, k->service, clock_now());
		if (ev == DIAL_HEAD)
			note_answer(k, m);
		k->o.handler(k->o.arg, ev, m);
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

static bool
start_direct(struct target_call *k)
{
	struct target_calls *x = k->calls;
	struct dial_opts o = k->o;

	o.body = copy_body(k);
	o.handler = on_direct_event;
	o.connected = on_connected;
	o.arg = k;
	k->direct = true;
	paths_call_begins(&x->paths, k->service, clock_now());
	k->dial = dial_start(x->o.dialer, &o);
	evbuffer_free(o.body);
	if (k->dial == NULL)
		end_direct(k);
	return k->dial != NULL;
}

/* HMAC of a request between hosts, which covers all that is used of it. */
static void
sign(const struct target_calls *x, struct str url, struct str id,
    struct str bytes, char mac[HASH_HEX_LEN + 1])
{
	struct buf text = { 0 };

	buf_put(&text, url);
	buf_putc(&text, '\n');
	buf_put(&text, id);
	buf_putc(&text, '\n');
	buf_put(&text, bytes);
	hash_hmac(str_from(x->o.fleet_key), str_of(&text), mac);
	buf_free(&text);
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

	if (result.p == NULL || str_eq(result, STR(NO_PATH)))
		return NO_PATH;
	if (str_eq(result, STR(ANSWERED)))
		return NULL;
	if (str_eq(result, STR(AT_REST)))
		return AT_REST;
	return str_eq(result, STR(NOT_SENT)) ? NOT_SENT : BROKEN;
}

/* The other host has reported a result other than ANSWERED. */
static void
on_host_failure(struct target_call *k)
{
	if (strcmp(k->failure, NO_PATH) == 0) {
		paths_host_without(
		    &k->calls->paths, k->host, k->service, clock_now());
		try_next_host(k);
	} else if (strcmp(k->failure, AT_REST) == 0) {
		try_next_host(k);
	} else if (strcmp(k->failure, NOT_SENT) == 0) {
		finish_call(k, DIAL_UNSENT, NULL);
	} else {
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
		if (k->failure != NULL)
			return;
		note_answer(k, m);
		break;
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
		paths_host_failed(&k->calls->paths, k->host, clock_now());
		try_next_host(k);
		return;
	case DIAL_BROKEN:
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

	if (h == NULL)
		return false;
	k->hosts_tried++;
	k->failure = NULL;
	g_strlcpy(k->host, h->id, sizeof(k->host));
	o.body = evbuffer_new();
	evbuffer_add(o.body, k->o.head.p, k->o.head.n);
	if (k->o.body != NULL)
		evbuffer_add(o.body, evbuffer_pullup(k->o.body, -1),
		    evbuffer_get_length(k->o.body));
	n = evbuffer_get_length(o.body);
	buf_printf(&url,
	    TARGET_CALLS_URL "?target=%s&sent_ms=%" PRId64 "&max_idle=%" PRId64
			     "&max_conns=%u&head_only=%d",
	    k->target, clock_wall() / USEC_PER_MSEC, k->o.max_idle_time,
	    k->o.max_idle_conns, k->o.head_only);
	sign(x, str_of(&url), k->o.call_id,
	    (struct str){ (const char *)evbuffer_pullup(o.body, -1), n }, mac);
	buf_printf(&head,
	    "POST %s HTTP/1.1\r\nHost: %s\r\n" AUTH_FIELD ": %s\r\n" ID_FIELD
	    ": %.*s\r\nContent-Length: %zu\r\n\r\n",
	    url.p, h->addr, mac, STR_FMT(k->o.call_id), n);
	o.addr = str_from(h->addr);
	o.head = str_of(&head);
	o.head_only = false;
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

static struct target_call *
new_call(struct target_calls *x, const struct target_load *t,
    const struct dial_opts *o)
{
	struct target_call *k = xcalloc(1, sizeof(*k));

	k->calls = x;
	k->o = *o;
	k->o.addr = (struct str){ str_dup(o->addr), o->addr.n };
	k->o.head = (struct str){ str_dup(o->head), o->head.n };
	k->o.call_id = (struct str){ str_dup(o->call_id), o->call_id.n };
	k->o.body = NULL;
	if (o->body != NULL) {
		k->o.body = evbuffer_new();
		evbuffer_add_buffer(k->o.body, o->body);
	}
	g_strlcpy(k->service, t->entry.service, sizeof(k->service));
	g_strlcpy(k->target, t->entry.id, sizeof(k->target));
	return k;
}

struct target_call *
target_call_start(struct target_calls *x, const struct target_load *t,
    const struct dial_opts *o)
{
	struct target_call *k = new_call(x, t, o);

	if ((!paths_is_direct(&x->paths, k->service) && start_by_host(k)) ||
	    start_direct(k))
		return k;
	free_call(k);
	return NULL;
}

void
target_call_cancel(struct target_call *k)
{
	struct dial_call *dial = k->dial;

	end_direct(k);
	free_call(k);
	dial_cancel(dial);
}

bool
target_call_is_direct(const struct target_call *k)
{
	return k->direct;
}

/* Calls that are made for other hosts. */

static void
free_served(struct served_call *s)
{
	g_queue_unlink(&s->calls->served, &s->link);
	atomic_fetch_sub(s->calls->o.busy, 1);
	free(s);
}

static void
respond_failure(struct httpd_request *q, const char *failure)
{
	g_autofree char *fields =
	    g_strdup_printf(RESULT_FIELD ": %s\r\n", failure);

	httpd_respond(
	    q, &(struct httpd_response){ .status = 503, .fields = fields });
}

static void
write_served(struct served_call *s, const struct httpmsg *m)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_buffer(out, m->body);
	httpd_write(s->q, out);
	evbuffer_free(out);
}

static void
fail_served(struct served_call *s, const char *failure)
{
	struct httpd_request *q = s->q;
	bool head_written = s->head_written;

	loads_ended(s->calls->o.loads, s->target, LOADS_FAILED, clock_now());
	free_served(s);
	if (head_written)
		httpd_abort(q);
	else
		respond_failure(q, failure);
}

static void
end_served(struct served_call *s, const struct httpmsg *m)
{
	struct httpd_request *q = s->q;

	/*
	 * The chunks would hide that such an answer ends with its connection,
	 * so that a target that has crashed looks like one that is done.
	 */
	if (!httpmsg_has_end(m) && evbuffer_get_length(m->body) == 0) {
		fail_served(s, BROKEN);
		return;
	}
	write_served(s, m);
	loads_ended(s->calls->o.loads, s->target, LOADS_OK, clock_now());
	free_served(s);
	httpd_end(q);
}

static void
on_served_event(void *arg, enum dial_event ev, const struct httpmsg *m)
{
	struct served_call *s = arg;
	struct buf fields = { 0 };
	struct target_call *k = s->call;

	switch (ev) {
	case DIAL_HEAD:
		/* The field concerns this connection only. */
		buf_put(&fields,
		    STR(RESULT_FIELD ": " ANSWERED "\r\n"
				     "Connection: " RESULT_FIELD "\r\n"));
		platform_response_fields(&fields, m);
		httpd_respond(s->q,
		    &(struct httpd_response){
			.status = m->parser.status_code,
			.fields = fields.p,
			.chunked = true,
		    });
		buf_free(&fields);
		s->head_written = true;
		return;
	case DIAL_BODY:
		write_served(s, m);
		if (httpd_backlog(s->q) <= MAX_BACKLOG)
			return;
		fail_served(s, BROKEN);
		target_call_cancel(k);
		return;
	case DIAL_END:
		end_served(s, m);
		return;
	case DIAL_UNSENT:
		fail_served(s, NOT_SENT);
		return;
	case DIAL_BROKEN:
	case DIAL_BAD_RESPONSE:
		fail_served(s, BROKEN);
		return;
	}
}

/* The host that asked for the call has closed its connection. */
static void
on_asker_closed(void *arg)
{
	struct served_call *s = arg;
	struct target_call *k = s->call;

	loads_ended(s->calls->o.loads, s->target, LOADS_OK, clock_now());
	free_served(s);
	target_call_cancel(k);
}

struct call_query {
	char target[64];
	uint64_t sent_ms;
	uint64_t max_idle;  /* microseconds */
	uint64_t max_conns; /* idle connections */
	uint64_t head_only;
};

static bool
parse_query(struct str url, struct call_query *out)
{
	struct str part;
	struct str name;

	*out = (struct call_query){ 0 };
	str_cut(&url, '?', &part);
	while (url.n > 0 && str_cut(&url, '&', &part)) {
		if (!str_cut(&part, '=', &name))
			return false;
		if (str_eq(name, STR("target")))
			g_strlcpy(out->target, part.p,
			    part.n + 1 < sizeof(out->target)
				? part.n + 1
				: sizeof(out->target));
		else if (str_eq(name, STR("sent_ms")) &&
		    !str_parse_u64(part, &out->sent_ms))
			return false;
		else if (str_eq(name, STR("max_idle")) &&
		    !str_parse_u64(part, &out->max_idle))
			return false;
		else if (str_eq(name, STR("max_conns")) &&
		    !str_parse_u64(part, &out->max_conns))
			return false;
		else if (str_eq(name, STR("head_only")) &&
		    !str_parse_u64(part, &out->head_only))
			return false;
	}
	return *out->target != '\0';
}

static bool
is_authentic(const struct target_calls *x, const struct httpmsg *m,
    const struct call_query *query)
{
	struct str auth = httpmsg_get(m, STR(AUTH_FIELD));
	struct str id = httpmsg_get(m, STR(ID_FIELD));
	usec_t age = clock_wall() - (usec_t)query->sent_ms * USEC_PER_MSEC;
	char mac[HASH_HEX_LEN + 1];
	char received[HASH_HEX_LEN + 1] = { 0 };

	if (auth.n != HASH_HEX_LEN || age > MAX_AGE || age < -MAX_AGE)
		return false;
	if (id.p == NULL)
		id = STR("");
	sign(x, httpmsg_url(m), id,
	    (struct str){ (const char *)evbuffer_pullup(m->body, -1),
		evbuffer_get_length(m->body) },
	    mac);
	memcpy(received, auth.p, HASH_HEX_LEN);
	return hash_equal(mac, received);
}

/* Why this host doesn't make a call to the target, or NULL. */
static const char *
find_obstacle(const struct target_calls *x, const struct target_load *t)
{
	if (x->draining)
		return NO_PATH;
	if (t == NULL || !t->listed || t->leaving || t->entry.leaving)
		return NOT_SENT;
	if (!paths_is_direct(&x->paths, t->entry.service))
		return NO_PATH;
	return clock_now() < t->rest_until ? AT_REST : NULL;
}

void
target_calls_serve(struct target_calls *x, struct httpd_request *q)
{
	const struct httpmsg *m = httpd_message(q);
	struct str id = httpmsg_get(m, STR(ID_FIELD));
	struct call_query query;
	struct target_load *t;
	const char *obstacle;
	struct served_call *s;
	struct dial_opts o;

	if (!parse_query(httpmsg_url(m), &query) ||
	    !is_authentic(x, m, &query)) {
		log_text(LOG_LVL_NOTICE, "call-not-authentic",
		    "a request for a call to a target isn't another host's");
		httpd_respond(q, &(struct httpd_response){ .status = 403 });
		return;
	}
	t = loads_find(x->o.loads, query.target);
	obstacle = find_obstacle(x, t);
	if (obstacle != NULL) {
		respond_failure(q, obstacle);
		return;
	}
	s = xcalloc(1, sizeof(*s));
	s->calls = x;
	s->q = q;
	s->link.data = s;
	g_strlcpy(s->target, query.target, sizeof(s->target));
	g_queue_push_tail_link(&x->served, &s->link);
	atomic_fetch_add(x->o.busy, 1);
	x->counts.made_for_host++;
	loads_sent(t, clock_now());
	httpd_on_close(q, on_asker_closed, s);
	o = (struct dial_opts){
		.addr = str_from(t->entry.addr),
		.body = m->body,
		.call_id_name = id.n > 0 ? platform_call_id_name() : STR(""),
		.call_id = id.n > 0 ? id : STR(""),
		.head_only = query.head_only != 0,
		.connect_timeout = CONNECT_TIMEOUT,
		.max_idle_time = (usec_t)query.max_idle,
		.max_idle_conns = (uint32_t)query.max_conns,
		.handler = on_served_event,
		.arg = s,
	};
	s->call = new_call(x, t, &o);
	s->call->direct_only = true;
	if (!start_direct(s->call)) {
		free_call(s->call);
		fail_served(s, NOT_SENT);
	}
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
	while (x->served.head != NULL)
		on_asker_closed(x->served.head->data);
}

void
target_calls_free(struct target_calls *x)
{
	paths_free(&x->paths);
	free(x);
}
