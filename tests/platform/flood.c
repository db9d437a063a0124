#include "tests/platform/flood.h"
#include "plat/httpmsg.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define BLOCK_BYTES   ((size_t)64 * 1024)
/* What is written of an answer without end; then its target is silent. */
#define ENDLESS_BYTES ((size_t)64 * 1024 * 1024)
#define HEAD_LIMIT    65536
/* Of slow answers: what is written at once, and the pause after it is taken. */
#define SLOW_BYTES    ((size_t)2048)
#define SLOW_PAUSE_US 35000
/* So that one whose receiver doesn't read stops. */
#define SLOW_BUFFER   4096
#define EVENT_BYTES   1024
/* Read of a slow request in each tick, and how long that is. */
#define TAKE_BYTES    8192
#define TAKE_TICK_US  100000
/* Of streams: cut off when their receiver takes nothing for so long. */
#define CUT_TIME_S    2

struct form {
	const char *name;
	const char *status;  /* and the fields that follow it */
	const char *begin;   /* after the target's own fields; NULL: no head */
	const char *repeats; /* without end */
};

/*
 * Answers without end.  Besides, "bytes-N" is an answer with N bytes, "slow-N"
 * one of them without a declared length, 57 KB a second, and "paced-N" one with
 * a declared length, 29 KB a second.  "events-N" is a stream of N events of
 * 1 KB.  A request for "reads-slowly" is read with 80 KB a second, and answered
 * with its id.
 */
static const struct form forms[] = {
	{ "body", "200 OK\r\n", "\r\n", "x" },
	{ "body-500", "500 X\r\n", "\r\n", "x" },
	{ "body-503", "503 X\r\n", "\r\n", "x" },
	{ "chunked", "200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\n",
	    "8\r\nxxxxxxxx\r\n" },
	{ "declared", "200 OK\r\nContent-Length: 900000000000000\r\n", "\r\n",
	    "x" },
	{ "head", "200 OK\r\n", "X-Pad: ", "x" },
	{ "fields", "200 OK\r\n", "", "X-Pad: x\r\n" },
	{ "status", "200 ", NULL, "x" },
	{ "interim", NULL, NULL, "HTTP/1.1 102 X\r\n\r\n" },
	{ "chunk-size", "200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\n",
	    "0" },
	{ "extension", "200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\n1;",
	    "x" },
	{ "trailers", "200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\n0\r\n",
	    "X-Pad: x\r\n" },
	{ "event", "200 OK\r\nContent-Type: text/event-stream\r\n",
	    "\r\nid: 1\ndata: ", "x" },
	{ "event-lines", "200 OK\r\nContent-Type: text/event-stream\r\n",
	    "\r\nid: 1\n", "data: x\n" },
	{ "comments", "200 OK\r\nContent-Type: text/event-stream\r\n", "\r\n",
	    ":\n\n" },
	{ "unknown", "200 OK\r\nContent-Type: text/event-stream\r\n", "\r\n",
	    "x: y\n\n" },
	{ "events-declared",
	    "200 OK\r\nContent-Type: text/event-stream\r\n"
	    "Content-Length: 900000000000000\r\n",
	    "\r\n", "data: x\n" },
	{ "page", "200 OK\r\nContent-Type: text/html\r\n", "\r\n", "<p>x\n" },
};

struct flood {
	pthread_t thread;
	pthread_mutex_t lock;
	struct event_base *base;
	struct event *wakeup;
	GPtrArray *listeners;
	GPtrArray *conns;
	struct ev_token_bucket_cfg *slow_reads;
	GHashTable *arrivals; /* id -> count */
	GHashTable *cuts;     /* the same, of streams cut off */
	/* A block of each form's bytes, and of a sound answer's. */
	char *blocks[G_N_ELEMENTS(forms)];
	size_t block_sizes[G_N_ELEMENTS(forms)];
	char *fill;
};

struct conn {
	struct flood *flood;
	struct bufferevent *bev;
	struct httpmsg request;
	const char *block; /* of the answer that is being written */
	size_t block_size;
	size_t left;
	bool closes;
	bool chunked;
	struct event *pause; /* of a slow answer; or NULL */
	uint64_t events;     /* of a stream; 0: another answer */
	uint64_t written;    /* of them */
	char *id;            /* of its request; or NULL */
};

static void process_input(struct conn *c);

static void
free_conn(struct conn *c)
{
	g_ptr_array_remove_fast(c->flood->conns, c);
	bufferevent_free(c->bev);
	if (c->pause != NULL)
		event_free(c->pause);
	httpmsg_free(&c->request);
	g_free(c->id);
	free(c);
}

static void
count(struct flood *f, GHashTable *counts, const char *id)
{
	pthread_mutex_lock(&f->lock);
	g_hash_table_insert(counts, g_strdup(id),
	    GUINT_TO_POINTER(
		GPOINTER_TO_UINT(g_hash_table_lookup(counts, id)) + 1));
	pthread_mutex_unlock(&f->lock);
}

static void
write_events(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	while (
	    c->written < c->events && evbuffer_get_length(out) < BLOCK_BYTES) {
		char head[32];
		int n = g_snprintf(head, sizeof(head),
		    "id: %" G_GUINT64_FORMAT "\ndata: ", ++c->written);

		evbuffer_add(out, head, (size_t)n);
		evbuffer_add(out, c->flood->fill, EVENT_BYTES - 2 - (size_t)n);
		evbuffer_add(out, "\n\n", 2);
	}
	if (c->written < c->events)
		return;
	c->events = 0;
	httpmsg_reset(&c->request);
	process_input(c);
}

/* Writes more of the answer; whole blocks, as long as there are some. */
static void
write_more(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	size_t n = MIN(c->left, c->block_size);

	if (evbuffer_get_length(out) >= BLOCK_BYTES || n == 0)
		return;
	evbuffer_add_reference(out, c->block, n, NULL, NULL);
	c->left -= n;
	if (c->left == 0 && !c->closes) {
		httpmsg_reset(&c->request);
		process_input(c);
	}
}

/* Writes the next part of a slow answer. */
static void
on_pause(evutil_socket_t fd, short what, void *arg)
{
	struct conn *c = arg;
	size_t n = MIN(c->left, c->chunked ? SLOW_BYTES : 2 * SLOW_BYTES);

	(void)fd;
	(void)what;
	c->left -= n;
	bufferevent_write(c->bev, c->block, n);
	if (c->left > 0)
		return;
	event_free(c->pause);
	c->pause = NULL;
	bufferevent_setwatermark(c->bev, EV_WRITE, BLOCK_BYTES / 2, 0);
	if (c->chunked)
		evbuffer_add_printf(
		    bufferevent_get_output(c->bev), "\r\n0\r\n\r\n");
	httpmsg_reset(&c->request);
	process_input(c);
}

static void
on_writable(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;
	struct timeval pause = { 0,
		c->chunked ? SLOW_PAUSE_US : 4 * SLOW_PAUSE_US };

	(void)bev;
	if (c->pause != NULL)
		evtimer_add(c->pause, &pause);
	else if (c->events > 0)
		write_events(c);
	else
		write_more(c);
}

static const struct form *
find_form(struct str name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
		if (str_eq(name, str_from(forms[i].name)))
			return &forms[i];
	}
	return NULL;
}

static void
start_endless(struct conn *c, const struct form *form, const char *fields)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	size_t i = (size_t)(form - forms);

	if (form->status != NULL)
		evbuffer_add_printf(out, "HTTP/1.1 %s", form->status);
	if (form->begin != NULL)
		evbuffer_add_printf(out, "%s%s", fields, form->begin);
	c->block = c->flood->blocks[i];
	c->block_size = c->flood->block_sizes[i];
	c->left = ENDLESS_BYTES;
	c->closes = true;
	write_more(c);
}

static void
start_slow(struct conn *c, size_t n, bool chunked, const char *fields)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	int size = SLOW_BUFFER;

	setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_SNDBUF, &size,
	    sizeof(size));
	if (chunked)
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n"
		    "\r\n%zx\r\n",
		    fields, n);
	else
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n", fields,
		    n);
	c->chunked = chunked;
	c->block = c->flood->fill;
	c->left = n;
	c->pause = evtimer_new(c->flood->base, on_pause, c);
	bufferevent_setwatermark(c->bev, EV_WRITE, 0, 0);
}

static void
start_events(struct conn *c, uint64_t n, const char *fields)
{
	struct timeval cut = { CUT_TIME_S, 0 };
	int size = SLOW_BUFFER;

	setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_SNDBUF, &size,
	    sizeof(size));
	bufferevent_set_timeouts(c->bev, NULL, &cut);
	evbuffer_add_printf(bufferevent_get_output(c->bev),
	    "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
	    "Content-Length: %" G_GUINT64_FORMAT "\r\n\r\n",
	    fields, n * EVENT_BYTES);
	c->events = n;
	c->written = 0;
	write_events(c);
}

/* The number after a prefix of a behavior; false without the prefix. */
static bool
number_after(struct str name, struct str prefix, uint64_t *out)
{
	return str_has_prefix(name, prefix) &&
	    str_parse_u64(
		(struct str){ name.p + prefix.n, name.n - prefix.n }, out);
}

static void
respond(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	struct str name = httpmsg_get(&c->request, STR("X-Test"));
	struct str id = httpmsg_get(&c->request, STR("X-Attempt-Id"));
	g_autofree char *text = g_strndup(id.p != NULL ? id.p : "", id.n);
	g_autofree char *fields = g_strdup_printf(
	    "X-Attempt-Id: %s\r\nX-Runner-Seal: s.flood\r\n", text);
	const struct form *form = find_form(name);
	uint64_t n = id.n;

	count(c->flood, c->flood->arrivals, text);
	g_free(c->id);
	c->id = g_strdup(text);
	if (form != NULL) {
		start_endless(c, form, fields);
		return;
	}
	if (number_after(name, STR("slow-"), &n)) {
		start_slow(c, n, true, fields);
		return;
	}
	if (number_after(name, STR("paced-"), &n)) {
		start_slow(c, n, false, fields);
		return;
	}
	if (number_after(name, STR("events-"), &n)) {
		start_events(c, n, fields);
		return;
	}
	if (number_after(name, STR("bytes-"), &n))
		text[0] = '\0';
	evbuffer_add_printf(out,
	    "HTTP/1.1 200 OK\r\n%sContent-Length: %" G_GUINT64_FORMAT
	    "\r\n\r\n%s",
	    fields, n, text);
	c->block = c->flood->fill;
	c->block_size = BLOCK_BYTES;
	c->left = text[0] == '\0' ? n : 0;
	if (c->left > 0) {
		write_more(c);
		return;
	}
	httpmsg_reset(&c->request);
	process_input(c);
}

static void
process_input(struct conn *c)
{
	httpmsg_feed(&c->request, bufferevent_get_input(c->bev));
	evbuffer_drain(c->request.body, evbuffer_get_length(c->request.body));
	if (c->request.state == HTTPMSG_BODY &&
	    str_eq(
		httpmsg_get(&c->request, STR("X-Test")), STR("reads-slowly")))
		bufferevent_set_rate_limit(c->bev, c->flood->slow_reads);
	if (c->request.state == HTTPMSG_DONE && c->left == 0)
		respond(c);
}

static void
on_readable(struct bufferevent *bev, void *arg)
{
	(void)bev;
	process_input(arg);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *c = arg;

	(void)bev;
	if ((what & BEV_EVENT_TIMEOUT) != 0)
		count(c->flood, c->flood->cuts, c->id);
	free_conn(c);
}

static void
on_conn(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct conn *c = g_malloc0(sizeof(*c));

	(void)l;
	(void)sa;
	(void)len;
	c->flood = arg;
	c->bev = bufferevent_socket_new(c->flood->base, fd,
	    BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	httpmsg_init(&c->request, HTTP_REQUEST, HEAD_LIMIT);
	g_ptr_array_add(c->flood->conns, c);
	bufferevent_setcb(c->bev, on_readable, on_writable, on_event, c);
	bufferevent_setwatermark(c->bev, EV_WRITE, BLOCK_BYTES / 2, 0);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

static void
on_wakeup(evutil_socket_t fd, short what, void *arg)
{
	struct flood *f = arg;

	(void)fd;
	(void)what;
	event_base_loopbreak(f->base);
}

static void *
run_loop(void *arg)
{
	struct flood *f = arg;

	event_base_loop(f->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

/* Whole units, so that blocks can follow each other. */
static char *
make_block(const char *unit, size_t *size)
{
	GString *s = g_string_new(NULL);

	while (s->len + strlen(unit) <= BLOCK_BYTES)
		g_string_append(s, unit);
	*size = s->len;
	return g_string_free(s, FALSE);
}

struct flood *
flood_start(uint16_t port, size_t n)
{
	struct flood *f = g_malloc0(sizeof(*f));

	evthread_use_pthreads();
	pthread_mutex_init(&f->lock, NULL);
	f->base = event_base_new();
	f->slow_reads =
	    ev_token_bucket_cfg_new(TAKE_BYTES, TAKE_BYTES, EV_RATE_LIMIT_MAX,
		EV_RATE_LIMIT_MAX, &(struct timeval){ 0, TAKE_TICK_US });
	f->wakeup = event_new(f->base, -1, EV_PERSIST, on_wakeup, f);
	f->listeners = g_ptr_array_new();
	f->conns = g_ptr_array_new();
	f->arrivals =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->cuts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->fill = g_strnfill(BLOCK_BYTES, 'x');
	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++)
		f->blocks[i] = make_block(forms[i].repeats, &f->block_sizes[i]);
	for (size_t i = 0; i < n; i++) {
		struct sockaddr_in addr = { .sin_family = AF_INET,
			.sin_port = htons((uint16_t)(port + i)),
			.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
		struct evconnlistener *l =
		    evconnlistener_new_bind(f->base, on_conn, f,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			    LEV_OPT_CLOSE_ON_EXEC,
			512, (struct sockaddr *)&addr, sizeof(addr));

		g_assert_nonnull(l);
		g_ptr_array_add(f->listeners, l);
	}
	pthread_create(&f->thread, NULL, run_loop, f);
	return f;
}

static uint32_t
counted(struct flood *f, GHashTable *counts, const char *id)
{
	uint32_t n;

	pthread_mutex_lock(&f->lock);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, id));
	pthread_mutex_unlock(&f->lock);
	return n;
}

uint32_t
flood_arrivals(struct flood *f, const char *id)
{
	return counted(f, f->arrivals, id);
}

uint32_t
flood_cuts(struct flood *f, const char *id)
{
	return counted(f, f->cuts, id);
}

void
flood_stop(struct flood *f)
{
	event_active(f->wakeup, EV_TIMEOUT, 0);
	pthread_join(f->thread, NULL);
	for (guint i = f->conns->len; i-- > 0;)
		free_conn(f->conns->pdata[i]);
	for (guint i = 0; i < f->listeners->len; i++)
		evconnlistener_free(f->listeners->pdata[i]);
	event_free(f->wakeup);
	/* Deferred callbacks still hold references to bufferevents. */
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	ev_token_bucket_cfg_free(f->slow_reads);
	g_ptr_array_unref(f->listeners);
	g_ptr_array_unref(f->conns);
	g_hash_table_destroy(f->arrivals);
	g_hash_table_destroy(f->cuts);
	for (size_t i = 0; i < G_N_ELEMENTS(forms); i++)
		g_free(f->blocks[i]);
	g_free(f->fill);
	pthread_mutex_destroy(&f->lock);
	g_free(f);
}
