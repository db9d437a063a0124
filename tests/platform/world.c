#include "tests/platform/world.h"
#include "plat/httpmsg.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define EVENT_GAP_MS 20
#define CALL_MS      60 /* of a stage call, and PIECE_MS of each piece */
#define PIECE_MS     4
#define MAX_SCRIPT   32

struct target {
	struct world *w;
	struct world_target t;
	char id[64];
	bool stopped;
	struct evconnlistener *listener;
	uint32_t handles;
	usec_t last_call;
};

struct item {
	char *value; /* NULL: deleted */
	int64_t rev;
};

struct conn {
	struct world *w;
	struct target *target; /* NULL: of the store */
	struct bufferevent *bev;
	struct httpmsg response;
	struct event *timer;
	char attempt[128];
	char script[MAX_SCRIPT]; /* how the request wants to be treated */
	uint32_t event;          /* next of a stream */
	uint32_t events;
	bool working;
	bool doomed;   /* what comes next resets it */
	int64_t after; /* of a wait */
	struct buf later;
};

struct world {
	pthread_t thread;
	pthread_mutex_t lock;
	struct event_base *base;
	struct event *kick;
	struct evconnlistener *listener;
	enum world_store mode;
	int64_t rev;
	int64_t oldest;    /* changes before are forgotten */
	GHashTable *items; /* key -> struct item */
	GHashTable *seen;  /* attempt -> struct world_seen */
	GPtrArray *conns;
	struct target *targets[WORLD_MAX_TARGETS];
	size_t n_targets;
	uint32_t pieces;
	uint32_t calls;
	bool stopping;
};

static void read_on(struct conn *c);

static void
free_conn(struct conn *c)
{
	g_ptr_array_remove_fast(c->w->conns, c);
	event_free(c->timer);
	bufferevent_free(c->bev);
	httpmsg_free(&c->response);
	buf_free(&c->later);
	free(c);
}

static void
reset_conn(struct conn *c)
{
	struct linger now = { 1, 0 };

	setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER, &now,
	    sizeof(now));
	free_conn(c);
}

static struct world_seen *
seen_of(struct world *w, const char *attempt)
{
	struct world_seen *s = g_hash_table_lookup(w->seen, attempt);

	if (s == NULL) {
		s = g_new0(struct world_seen, 1);
		g_hash_table_insert(w->seen, g_strdup(attempt), s);
	}
	return s;
}

static void
after(struct conn *c, int ms)
{
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

	evtimer_add(c->timer, &tv);
}

static void
next_message(struct conn *c)
{
	c->working = false;
	httpmsg_reset(&c->response);
	read_on(c);
}

static void
answer(struct conn *c, int status, const char *fields, struct str body)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	evbuffer_add_printf(out,
	    "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status, fields,
	    body.n);
	evbuffer_add(out, body.p, body.n);
	next_message(c);
}

/* The store. */

static struct str
query_value(struct str target, const char *key)
{
	struct str part;

	str_cut(&target, '?', &part);
	while (target.n > 0 && str_cut(&target, '&', &part)) {
		struct str name;

		if (str_cut(&part, '=', &name) && str_eq(name, str_from(key)))
			return part;
	}
	return STR("");
}

static json_t *
item_json(const char *key, const struct item *x)
{
	g_autofree char *v = NULL;

	if (x->value == NULL)
		return json_pack("{s:s, s:I, s:b}", "Key", key, "Rev",
		    (json_int_t)x->rev, "Tombstone", 1);
	v = g_base64_encode((const guchar *)x->value, strlen(x->value));
	return json_pack("{s:s, s:s, s:I}", "Key", key, "Value", v, "Rev",
	    (json_int_t)x->rev);
}

static size_t
put_items(struct world *w, const char *list, int64_t since, bool deleted,
    struct buf *out)
{
	json_t *v = json_array();
	json_t *o;
	GHashTableIter it;
	gpointer k;
	gpointer p;
	size_t n;
	char *text;

	g_hash_table_iter_init(&it, w->items);
	while (g_hash_table_iter_next(&it, &k, &p)) {
		const struct item *x = p;

		if (x->rev > since && (deleted || x->value != NULL))
			json_array_append_new(v, item_json(k, x));
	}
	n = json_array_size(v);
	o = json_pack("{s:o, s:I, s:b}", list, v, "AsOf", (json_int_t)w->rev,
	    "MorePages", 0);
	text = json_dumps(o, JSON_COMPACT);
	buf_put(out, str_from(text));
	free(text);
	json_decref(o);
	return n;
}

static void
end_wait(struct conn *c)
{
	struct buf out = { 0 };

	put_items(c->w, "events", c->after, true, &out);
	answer(c, 200, "", str_of(&out));
	buf_free(&out);
}

static void
serve_store(struct conn *c)
{
	struct str target = httpmsg_url(&c->response);
	struct buf out = { 0 };
	uint64_t n = 0;

	c->working = true;
	switch (c->w->mode) {
	case WORLD_STORE_SILENT:
		return;
	case WORLD_STORE_BUSY:
		answer(c, 503, "", STR(""));
		return;
	case WORLD_STORE_RESET:
		reset_conn(c);
		return;
	case WORLD_STORE_OK:
		break;
	}
	if (!str_has_prefix(target, STR("/api/kv-watch"))) {
		put_items(c->w, "Items", 0, false, &out);
		answer(c, 200, "", str_of(&out));
		buf_free(&out);
		return;
	}
	str_parse_u64(query_value(target, "After"), &n);
	c->after = (int64_t)n;
	if (c->after < c->w->oldest) {
		answer(c, 410, "", STR(""));
		return;
	}
	str_parse_u64(query_value(target, "WaitMs"), &n);
	if (c->after < c->w->rev || n == 0)
		end_wait(c);
	else
		after(c, (int)n);
}

/* Targets. */

static void
seal_fields(struct conn *c, char *out, size_t n)
{
	snprintf(out, n,
	    "X-Attempt-Id: %s\r\nX-Runner-Seal: s.%s\r\n"
	    "X-Runner-Load: 1,0,4\r\n",
	    c->attempt, c->target->id);
}

static void
send_event(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	char data[256];
	int n;

	if (strcmp(c->script, "break") == 0 && c->event == 3) {
		reset_conn(c);
		return;
	}
	if (c->event > c->events) {
		evbuffer_add(out, "0\r\n\r\n", 5);
		next_message(c);
		return;
	}
	n = snprintf(
	    data, sizeof(data), "id: %u\ndata: %s\n\n", c->event, c->attempt);
	evbuffer_add_printf(out, "%x\r\n%s\r\n", (unsigned)n, data);
	c->event++;
	after(c, EVENT_GAP_MS);
}

static void
start_stream(struct conn *c)
{
	struct str last = httpmsg_get(&c->response, STR("Last-Event-Id"));
	uint64_t n = 0;
	char fields[512];

	if (last.p != NULL)
		str_parse_u64(last, &n);
	c->event = (uint32_t)n + 1;
	c->events = 6;
	if (n > 0)
		c->script[0] = '\0'; /* a resumed stream goes well */
	seal_fields(c, fields, sizeof(fields));
	evbuffer_add_printf(bufferevent_get_output(c->bev),
	    "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    fields);
	send_event(c);
}

/* The answer to a plain request, as its script says. */
static void
answer_plain(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	char fields[512];
	const char *s = c->script;

	seal_fields(c, fields, sizeof(fields));
	if (strcmp(s, "cut") == 0 || strcmp(s, "cut-refuse") == 0) {
		reset_conn(c);
	} else if (strcmp(s, "half") == 0) {
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%sContent-Length: 99\r\n\r\nhalf",
		    fields);
		bufferevent_flush(c->bev, EV_WRITE, BEV_FINISHED);
		strcpy(c->script, "close");
		after(c, 5);
	} else if (strcmp(s, "nolength") == 0) {
		evbuffer_add_printf(
		    out, "HTTP/1.1 200 OK\r\n%s\r\n%s", fields, c->attempt);
		strcpy(c->script, "close");
		after(c, 5);
	} else if (strcmp(s, "extra") == 0) {
		for (int i = 0; i < 2; i++)
			evbuffer_add_printf(out,
			    "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n"
			    "%s",
			    fields, strlen(c->attempt), c->attempt);
		next_message(c);
	} else if (strcmp(s, "unsealed") == 0) {
		answer(c, 200, "", STR("not the target's"));
	} else if (strcmp(s, "500") == 0) {
		answer(c, 500, fields, STR("failed"));
	} else if (strcmp(s, "drop-next") == 0) {
		c->doomed = true;
		answer(c, 200, fields, str_from(c->attempt));
	} else if (strcmp(s, "late") == 0) {
		/* Its answer, and once more while the next call waits. */
		buf_printf(&c->later,
		    "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nlate",
		    fields);
		answer(c, 200, fields, str_from(c->attempt));
	} else {
		answer(c, 200, fields, str_from(c->attempt));
	}
}

static void
run_stage(struct conn *c)
{
	size_t n = evbuffer_get_length(c->response.body);
	json_t *o = json_loadb(
	    (const char *)evbuffer_pullup(c->response.body, -1), n, 0, NULL);
	size_t k = json_array_size(json_object_get(o, "Items"));
	json_t *v = json_array();
	char *text;

	for (size_t i = 0; i < k; i++)
		json_array_append_new(v,
		    json_pack("{s:o}", "Handle",
			json_sprintf("127.0.0.1:%u/%s-%u", c->target->t.port,
			    c->target->id, c->target->handles++)));
	c->w->pieces += (uint32_t)k;
	c->w->calls++;
	o = (json_decref(o), json_pack("{s:o}", "Items", v));
	text = json_dumps(o, JSON_COMPACT);
	buf_clear(&c->later);
	buf_put(&c->later, str_from(text));
	free(text);
	json_decref(o);
	strcpy(c->script, "stage");
	after(c, CALL_MS + PIECE_MS * (int)k);
}

/* Notes the arrival; false if the call is refused. */
static bool
admit(struct conn *c)
{
	struct str want = httpmsg_get(&c->response, STR("X-Expect-Runner"));
	struct str script = httpmsg_get(&c->response, STR("X-Test"));
	struct world_seen *s;
	struct buf head = { 0 };

	g_strlcpy(c->script, "", sizeof(c->script));
	if (script.p != NULL)
		snprintf(c->script, sizeof(c->script), "%.*s", STR_FMT(script));
	if (want.p != NULL && !str_eq(want, str_from(c->target->id))) {
		answer(c, 421, "X-Runner-Id: other\r\n", STR(""));
		return false;
	}
	s = seen_of(c->w, c->attempt);
	s->arrivals++;
	s->last = clock_now();
	c->target->last_call = s->last;
	buf_put(&head, httpmsg_url(&c->response));
	for (size_t i = 0; i < c->response.n_fields; i++) {
		struct httpmsg_field f = httpmsg_field(&c->response, i);

		buf_printf(
		    &head, "\n%.*s: %.*s", STR_FMT(f.name), STR_FMT(f.value));
	}
	g_strlcpy(s->head, head.p, sizeof(s->head));
	buf_free(&head);
	if (strcmp(c->script, "refuse") == 0 ||
	    (strcmp(c->script, "refuse-once") == 0 && s->arrivals == 1) ||
	    (strcmp(c->script, "cut-refuse") == 0 && s->arrivals == 2)) {
		answer(c, 503, "X-Not-Executed: 1\r\n", STR(""));
		return false;
	}
	s->runs++;
	g_strlcpy(s->target, c->target->id, sizeof(s->target));
	if (s->runs > 1 && strcmp(c->script, "500") != 0)
		c->script[0] = '\0';
	return true;
}

static void
serve_target(struct conn *c)
{
	struct str target = httpmsg_url(&c->response);
	struct str id = httpmsg_get(&c->response, STR("X-Attempt-Id"));

	c->working = true;
	if (c->target->stopped || c->doomed) {
		reset_conn(c);
		return;
	}
	if (c->later.n > 0 && str_has_prefix(target, STR("/"))) {
		/* The late answer of the request before comes first. */
		bufferevent_write(c->bev, c->later.p, c->later.n);
		buf_clear(&c->later);
	}
	if (str_eq(target, STR("/api/stage-run"))) {
		run_stage(c);
		return;
	}
	if (str_eq(target, STR("/api/stage-free"))) {
		answer(c, 200, "", STR("{}"));
		return;
	}
	snprintf(c->attempt, sizeof(c->attempt), "%.*s", STR_FMT(id));
	if (!admit(c))
		return;
	if (str_has_prefix(target, STR("/stream")))
		start_stream(c);
	else
		after(c, strcmp(c->script, "slow") == 0 ? 2000 : 3);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct conn *c = arg;
	struct world *w = c->w;

	(void)fd;
	(void)what;
	pthread_mutex_lock(&w->lock);
	if (c->target == NULL) {
		if (w->mode == WORLD_STORE_OK)
			end_wait(c);
	} else if (c->target->stopped) {
		reset_conn(c);
	} else if (strcmp(c->script, "close") == 0) {
		free_conn(c);
	} else if (strcmp(c->script, "stage") == 0) {
		struct buf body = c->later;

		c->later = (struct buf){ 0 };
		answer(c, 200, "", str_of(&body));
		buf_free(&body);
	} else if (str_has_prefix(httpmsg_url(&c->response), STR("/stream"))) {
		send_event(c);
	} else {
		answer_plain(c);
	}
	pthread_mutex_unlock(&w->lock);
}

static void
read_on(struct conn *c)
{
	httpmsg_feed(&c->response, bufferevent_get_input(c->bev));
	if (c->response.state == HTTPMSG_BAD)
		reset_conn(c);
	else if (c->response.state == HTTPMSG_DONE && c->target == NULL)
		serve_store(c);
	else if (c->response.state == HTTPMSG_DONE)
		serve_target(c);
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;
	struct world *w = c->w;

	(void)bev;
	pthread_mutex_lock(&w->lock);
	if (!c->working)
		read_on(c);
	pthread_mutex_unlock(&w->lock);
}

static void
on_closed(struct bufferevent *bev, short what, void *arg)
{
	struct conn *c = arg;
	struct world *w = c->w;

	(void)bev;
	(void)what;
	pthread_mutex_lock(&w->lock);
	if (c->target != NULL && c->working && c->attempt[0] != '\0')
		seen_of(w, c->attempt)->gone = true;
	free_conn(c);
	pthread_mutex_unlock(&w->lock);
}

static struct conn *
new_conn(struct world *w, struct target *t, evutil_socket_t fd)
{
	struct conn *c = xcalloc(1, sizeof(*c));
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->w = w;
	c->target = t;
	c->bev = bufferevent_socket_new(
	    w->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	c->timer = evtimer_new(w->base, on_timer, c);
	httpmsg_init(&c->response, HTTP_REQUEST, 65536);
	g_ptr_array_add(w->conns, c);
	bufferevent_setcb(c->bev, on_readable, NULL, on_closed, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	return c;
}

static void
on_store_conn(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int n, void *arg)
{
	struct world *w = arg;

	(void)l;
	(void)sa;
	(void)n;
	pthread_mutex_lock(&w->lock);
	new_conn(w, NULL, fd);
	pthread_mutex_unlock(&w->lock);
}

static void
on_target_conn(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *sa, int n, void *arg)
{
	struct target *t = arg;

	(void)l;
	(void)sa;
	(void)n;
	pthread_mutex_lock(&t->w->lock);
	new_conn(t->w, t, fd);
	pthread_mutex_unlock(&t->w->lock);
}

static struct evconnlistener *
listen_at(struct world *w, uint16_t port, evconnlistener_cb cb, void *arg)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct evconnlistener *l = evconnlistener_new_bind(w->base, cb, arg,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_THREADSAFE |
		LEV_OPT_CLOSE_ON_EXEC,
	    256, (struct sockaddr *)&at, sizeof(at));

	g_assert_nonnull(l);
	return l;
}

/* Ends the waits that have changes, and the thread. */
static void
on_kick(evutil_socket_t fd, short what, void *arg)
{
	struct world *w = arg;

	(void)fd;
	(void)what;
	pthread_mutex_lock(&w->lock);
	for (guint i = 0; i < w->conns->len; i++) {
		struct conn *c = w->conns->pdata[i];

		if (c->target == NULL && c->working &&
		    w->mode == WORLD_STORE_OK && c->after < w->rev &&
		    evtimer_pending(c->timer, NULL)) {
			evtimer_del(c->timer);
			end_wait(c);
		}
	}
	if (w->stopping)
		event_base_loopbreak(w->base);
	pthread_mutex_unlock(&w->lock);
}

static void *
run(void *arg)
{
	struct world *w = arg;

	event_base_loop(w->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

static void
free_item(gpointer p)
{
	struct item *x = p;

	g_free(x->value);
	g_free(x);
}

struct world *
world_start(uint16_t port)
{
	struct world *w = xcalloc(1, sizeof(*w));

	evthread_use_pthreads();
	pthread_mutex_init(&w->lock, NULL);
	w->base = event_base_new();
	w->kick = event_new(w->base, -1, EV_PERSIST, on_kick, w);
	w->rev = 1;
	w->items =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
	w->seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->conns = g_ptr_array_new();
	w->listener = listen_at(w, port, on_store_conn, w);
	pthread_create(&w->thread, NULL, run, w);
	return w;
}

void
world_store(struct world *w, enum world_store mode)
{
	pthread_mutex_lock(&w->lock);
	w->mode = mode;
	pthread_mutex_unlock(&w->lock);
	event_active(w->kick, EV_TIMEOUT, 0);
}

static void
set_item(struct world *w, const char *key, const char *value)
{
	struct item *x = g_new0(struct item, 1);

	x->value = g_strdup(value);
	pthread_mutex_lock(&w->lock);
	x->rev = ++w->rev;
	g_hash_table_replace(w->items, g_strdup(key), x);
	pthread_mutex_unlock(&w->lock);
	event_active(w->kick, EV_TIMEOUT, 0);
}

void
world_put(struct world *w, const char *key, const char *value)
{
	set_item(w, key, value);
}

void
world_delete(struct world *w, const char *key)
{
	set_item(w, key, NULL);
}

static struct target *
find_target(struct world *w, const char *id)
{
	for (size_t i = 0; i < w->n_targets; i++) {
		if (strcmp(w->targets[i]->id, id) == 0)
			return w->targets[i];
	}
	g_assert_not_reached();
}

static void
enter_target(struct world *w, const struct target *t, const char *state)
{
	g_autofree char *key = g_strconcat("servers/", t->id, NULL);
	g_autofree char *v = g_strdup_printf(
	    "{\"Service\":\"%s\",\"Addr\":\"127.0.0.1:%u\",\"Zone\":\"%s\","
	    "\"Slots\":4,\"State\":\"%s\",\"born\":1}",
	    t->t.service, t->t.via != 0 ? t->t.via : t->t.port, t->t.domain,
	    state);

	set_item(w, key, v);
}

void
world_add_target(struct world *w, const struct world_target *o)
{
	struct target *t = xcalloc(1, sizeof(*t));

	g_assert_cmpuint(w->n_targets, <, WORLD_MAX_TARGETS);
	t->w = w;
	t->t = *o;
	g_strlcpy(t->id, o->id, sizeof(t->id));
	t->listener = listen_at(w, o->port, on_target_conn, t);
	w->targets[w->n_targets++] = t;
	enter_target(w, t, "ready");
}

void
world_drain_target(struct world *w, const char *id)
{
	enter_target(w, find_target(w, id), "draining");
}

void
world_ready_target(struct world *w, const char *id)
{
	enter_target(w, find_target(w, id), "ready");
}

usec_t
world_last_call(struct world *w, const char *id)
{
	usec_t t;

	pthread_mutex_lock(&w->lock);
	t = find_target(w, id)->last_call;
	pthread_mutex_unlock(&w->lock);
	return t;
}

void
world_forget(struct world *w)
{
	pthread_mutex_lock(&w->lock);
	w->oldest = w->rev;
	pthread_mutex_unlock(&w->lock);
}

void
world_stop_target(struct world *w, const char *id, bool stopped)
{
	pthread_mutex_lock(&w->lock);
	find_target(w, id)->stopped = stopped;
	pthread_mutex_unlock(&w->lock);
}

void
world_replace_target(struct world *w, const char *id, const char *other)
{
	pthread_mutex_lock(&w->lock);
	g_strlcpy(find_target(w, id)->id, other, 64);
	pthread_mutex_unlock(&w->lock);
}

bool
world_seen(struct world *w, const char *attempt, struct world_seen *out)
{
	const struct world_seen *s;

	pthread_mutex_lock(&w->lock);
	s = g_hash_table_lookup(w->seen, attempt);
	if (s != NULL)
		*out = *s;
	else
		memset(out, 0, sizeof(*out));
	pthread_mutex_unlock(&w->lock);
	return s != NULL;
}

void
world_pieces(struct world *w, uint32_t *pieces, uint32_t *calls)
{
	pthread_mutex_lock(&w->lock);
	*pieces = w->pieces;
	*calls = w->calls;
	pthread_mutex_unlock(&w->lock);
}

uint32_t
world_doubles(struct world *w)
{
	GHashTableIter it;
	gpointer k;
	gpointer v;
	uint32_t n = 0;

	pthread_mutex_lock(&w->lock);
	g_hash_table_iter_init(&it, w->seen);
	while (g_hash_table_iter_next(&it, &k, &v))
		n += g_str_has_prefix(k, "once") &&
		    ((const struct world_seen *)v)->runs > 1;
	pthread_mutex_unlock(&w->lock);
	return n;
}

void
world_stop(struct world *w)
{
	pthread_mutex_lock(&w->lock);
	w->stopping = true;
	pthread_mutex_unlock(&w->lock);
	event_active(w->kick, EV_TIMEOUT, 0);
	pthread_join(w->thread, NULL);
	for (guint i = w->conns->len; i-- > 0;)
		free_conn(w->conns->pdata[i]);
	for (size_t i = 0; i < w->n_targets; i++) {
		evconnlistener_free(w->targets[i]->listener);
		free(w->targets[i]);
	}
	evconnlistener_free(w->listener);
	event_free(w->kick);
	/* Lets go of what deferred callbacks still hold. */
	event_base_loop(w->base, EVLOOP_NONBLOCK);
	event_base_free(w->base);
	g_hash_table_destroy(w->items);
	g_hash_table_destroy(w->seen);
	g_ptr_array_unref(w->conns);
	pthread_mutex_destroy(&w->lock);
	free(w);
}
