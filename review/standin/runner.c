#include "review/standin/runner.h"
#include "review/standin/record.h"
#include "review/standin/wire.h"

#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Connections that are idle for longer are closed. */
#define IDLE_MS   30000
/* A working runner looks this often whether the caller has left. */
#define WORK_STEP 5
#define BODY_SIZE 800

struct runner {
	struct runner_opts o;
	char addr[ADDR_BYTES];
	int listener;
	pthread_mutex_t lock;
	GArray *arrivals; /* struct arrival */
	int seq;
	int handles;
	bool leaving;
	bool registers; /* writes its entry at each heartbeat */
	bool exited;
};

struct runner_conn {
	struct runner *runner;
	int fd;
};

const char *
runner_id(const struct runner *r)
{
	return r->o.id;
}

static void
write_entry(struct runner *r)
{
	g_autofree char *key = g_strdup_printf("servers/%s", r->o.id);
	g_autofree char *value = NULL;

	pthread_mutex_lock(&r->lock);
	if (r->registers) {
		value = g_strdup_printf(
		    "{\"Service\":\"%s\",\"Addr\":\"%s\",\"Zone\":\"%s\","
		    "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
		    "\"ColdLeftMs\":0,\"Seq\":%d}",
		    r->o.service, r->addr, r->o.zone, r->o.slots, ++r->seq);
		store_put(r->o.store, key, value);
	}
	pthread_mutex_unlock(&r->lock);
}

void
runner_remove_entry(struct runner *r)
{
	g_autofree char *key = g_strdup_printf("servers/%s", r->o.id);

	if (store_delete(r->o.store, key))
		record("store: entry of %s removed", r->o.id);
}

void
runner_leave(struct runner *r)
{
	pthread_mutex_lock(&r->lock);
	r->leaving = true;
	r->registers = false;
	pthread_mutex_unlock(&r->lock);
	record("runner %s leaves", r->o.id);
	runner_remove_entry(r);
}

void
runner_exit(struct runner *r)
{
	pthread_mutex_lock(&r->lock);
	r->exited = true;
	r->registers = false;
	pthread_mutex_unlock(&r->lock);
	shutdown(r->listener, SHUT_RDWR);
	close(r->listener);
	record("runner %s exits", r->o.id);
}

GArray *
runner_arrivals(struct runner *r)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct arrival));

	pthread_mutex_lock(&r->lock);
	g_array_append_vals(out, r->arrivals->data, r->arrivals->len);
	pthread_mutex_unlock(&r->lock);
	return out;
}

/* Works for a time; false if the caller left or the runner exited. */
static bool
work(const struct runner *r, const struct wire *w, int64_t ms)
{
	int64_t until = record_now() + ms;

	while (record_now() < until) {
		int64_t left = until - record_now();

		sleep_ms(left < WORK_STEP ? left : WORK_STEP);
		if (r->exited || wire_closed(w))
			return false;
	}
	return true;
}

static char *
answer_head(
    const struct runner *r, const char *attempt, int status, const char *more)
{
	return g_strdup_printf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n"
			       "X-Runner-Id: %s\r\n%s%s",
	    status, status == 200 ? "OK" : "Refused", attempt, r->o.id,
	    r->leaving ? "Server-Leaving: 1\r\n" : "", more);
}

static bool
write_plain(struct runner *r, struct wire *w, const char *attempt)
{
	g_autofree char *body = g_strnfill(BODY_SIZE, 'b');
	g_autofree char *head = NULL;
	g_autofree char *all = NULL;

	if (!work(r, w, r->o.work_ms))
		return false;
	head = answer_head(r, attempt, 200,
	    "X-Runner-Seal: seal\r\nContent-Type: text/plain\r\n");
	all = g_strdup_printf(
	    "%sContent-Length: %d\r\n\r\n%s", head, BODY_SIZE, body);
	return wire_write(w, all, strlen(all));
}

static bool
write_event(struct wire *w, const char *attempt, int i)
{
	g_autofree char *event =
	    g_strdup_printf("id: %d\ndata: %s %d\n\n", i, attempt, i);
	g_autofree char *chunk =
	    g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

	return wire_write(w, chunk, strlen(chunk));
}

static bool
write_stream(struct runner *r, struct wire *w, const char *attempt)
{
	g_autofree char *head = NULL;

	if (!work(r, w, r->o.work_ms))
		return false;
	head = answer_head(r, attempt, 200,
	    "X-Runner-Seal: seal\r\nContent-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n");
	if (!wire_write(w, head, strlen(head)))
		return false;
	for (int i = 1; i <= r->o.events; i++) {
		if (!write_event(w, attempt, i) ||
		    (i < r->o.events && !work(r, w, r->o.pause_ms)))
			return false;
	}
	return wire_write(w, "0\r\n\r\n", 5);
}

/* Notes an arrival and returns its place. */
static guint
note_arrival(struct runner *r, const char *attempt, bool run)
{
	struct arrival a = {
		.at = record_now(), .run = run, .leaving = r->leaving
	};
	guint at;

	g_strlcpy(a.attempt, attempt, sizeof(a.attempt));
	pthread_mutex_lock(&r->lock);
	at = r->arrivals->len;
	g_array_append_val(r->arrivals, a);
	pthread_mutex_unlock(&r->lock);
	record("runner %s %s %s", r->o.id, run ? "runs" : "rejects", attempt);
	return at;
}

static void
note_end(struct runner *r, guint at, const char *attempt, bool complete)
{
	struct arrival *a;

	pthread_mutex_lock(&r->lock);
	a = &g_array_index(r->arrivals, struct arrival, at);
	a->ended = record_now();
	a->complete = complete;
	pthread_mutex_unlock(&r->lock);
	record("runner %s %s %s", r->o.id,
	    complete ? "has answered" : "was cut off from", attempt);
}

/* Answers a call of a stage: a handle for each of its items. */
static bool
serve_stage(struct runner *r, struct wire *w, const struct message *m)
{
	json_t *o = json_loadb(m->body->str, m->body->len, 0, NULL);
	json_t *items = json_object_get(o, "Items");
	json_t *out = json_array();
	json_t *answer = json_pack("{s:o}", "Items", out);
	g_autofree char *text = NULL;
	g_autofree char *all = NULL;

	for (size_t i = 0; i < json_array_size(items); i++) {
		json_t *item = json_array_get(items, i);
		g_autofree char *handle = g_strdup_printf(
		    "%s/%x%d", r->addr, g_random_int(), ++r->handles);

		record("runner %s makes piece %d of stage %d of %s: %s",
		    r->o.id,
		    (int)json_integer_value(json_object_get(item, "Piece")),
		    (int)json_integer_value(json_object_get(item, "Stage")),
		    json_string_value(json_object_get(item, "Id")), handle);
		json_array_append_new(
		    out, json_pack("{s:s}", "Handle", handle));
	}
	json_decref(o);
	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	all = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Runner-Id: %s\r\n"
			      "Content-Type: application/json\r\n"
			      "Content-Length: %zu\r\n\r\n%s",
	    r->o.id, strlen(text), text);
	return work(r, w, r->o.work_ms) && wire_write(w, all, strlen(all));
}

/* Runs a request, or turns it away if it expects another runner. */
static bool
serve(struct runner *r, struct wire *w, const struct message *m)
{
	static const char freed[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	g_autofree char *attempt = message_field(m, "X-Attempt-Id");
	g_autofree char *expected = message_field(m, "X-Expect-Runner");
	const char *id = attempt != NULL ? attempt : "-";
	guint at;
	bool ok;

	if (expected != NULL && strcmp(expected, r->o.id) != 0) {
		g_autofree char *head = answer_head(r, id, 421,
		    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");

		note_arrival(r, id, false);
		return wire_write(w, head, strlen(head));
	}
	if (g_str_has_prefix(m->first, "POST /api/stage-run"))
		return serve_stage(r, w, m);
	if (g_str_has_prefix(m->first, "POST /api/stage-free"))
		return wire_write(w, freed, strlen(freed));
	at = note_arrival(r, id, true);
	ok = r->o.events > 0 ? write_stream(r, w, id) : write_plain(r, w, id);
	note_end(r, at, id, ok);
	return ok;
}

static void *
run_conn(void *arg)
{
	struct runner_conn *c = arg;
	struct runner *r = c->runner;
	struct wire w;
	bool open = true;

	wire_init(&w, c->fd);
	while (open) {
		struct message m;

		open = wire_read(&w, record_now() + IDLE_MS, &m) &&
		    m.complete && !r->exited && serve(r, &w, &m);
		message_free(&m);
	}
	wire_close(&w, r->exited);
	g_free(c);
	return NULL;
}

static void *
run_listener(void *arg)
{
	struct runner *r = arg;

	while (!r->exited) {
		struct runner_conn *c = g_new0(struct runner_conn, 1);
		pthread_t t;

		c->runner = r;
		c->fd = accept4(r->listener, NULL, NULL, SOCK_CLOEXEC);
		if (c->fd < 0 || pthread_create(&t, NULL, run_conn, c) != 0) {
			g_free(c);
			break;
		}
		pthread_detach(t);
	}
	return NULL;
}

static void *
run_heartbeat(void *arg)
{
	struct runner *r = arg;

	while (!r->exited) {
		write_entry(r);
		sleep_ms(HEARTBEAT_MS);
	}
	return NULL;
}

struct runner *
runner_start(const struct runner_opts *o)
{
	struct runner *r = g_new0(struct runner, 1);
	uint16_t port = 0;
	pthread_t t;

	r->o = *o;
	pthread_mutex_init(&r->lock, NULL);
	r->arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	r->registers = true;
	r->listener = wire_listen(o->ip, &port);
	if (r->listener < 0) {
		perror(o->id);
		exit(2);
	}
	snprintf(r->addr, sizeof(r->addr), "%s:%u", o->ip, port);
	record("runner %s of %s at %s", o->id, o->service, r->addr);
	pthread_create(&t, NULL, run_listener, r);
	pthread_detach(t);
	pthread_create(&t, NULL, run_heartbeat, r);
	pthread_detach(t);
	return r;
}
