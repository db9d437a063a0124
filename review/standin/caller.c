#include "review/standin/caller.h"
#include "review/standin/record.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A caller waits for this long after its deadline before it gives up. */
#define PATIENCE_MS 2000
/* A pausing caller looks this often whether it has to end. */
#define PAUSE_STEP  200
/* Different second parts of the prompts. */
#define PROMPTS     16
#define BODY        "{\"amount\":1}"

struct callers {
	struct callers_opts o;
	pthread_mutex_t lock;
	GArray *attempts; /* struct attempt */
	GArray *threads;  /* pthread_t */
	bool stopping;
};

struct caller {
	struct callers *all;
	int number;
	unsigned seed;
	struct wire w;
	bool open;
	bool fresh; /* nothing was sent on the connection yet */
	int host;
};

static void
pause_caller(struct caller *c)
{
	const struct callers_opts *o = &c->all->o;
	int64_t range = o->pause_max_ms - o->pause_min_ms + 1;
	int64_t until =
	    record_now() + o->pause_min_ms + rand_r(&c->seed) % range;

	while (record_now() < until && !c->all->stopping) {
		int64_t left = until - record_now();

		if (!c->open) {
			sleep_ms(left < PAUSE_STEP ? left : PAUSE_STEP);
			continue;
		}
		wire_wait(&c->w, left < PAUSE_STEP ? left : PAUSE_STEP);
		/* A connection that the host has closed is not used again. */
		if (wire_closed(&c->w)) {
			wire_close(&c->w, false);
			c->open = false;
		}
	}
}

static bool
connect_caller(struct caller *c)
{
	struct fleet *f = c->all->o.fleet;
	int fd;

	if (c->open && wire_closed(&c->w)) {
		wire_close(&c->w, false);
		c->open = false;
	}
	if (c->open)
		return true;
	c->host = fleet_choose(f, (unsigned)rand_r(&c->seed));
	fd = wire_connect(f->hosts[c->host].front);
	if (fd < 0)
		return false;
	wire_init(&c->w, fd);
	c->open = true;
	c->fresh = true;
	return true;
}

/*
 * Returns the header lines of a request's prompt: its first part is shared by
 * all, the second one by some callers, the last one is its own.
 */
static char *
prompt_fields(const struct caller *c, int n)
{
	if (!c->all->o.has_prompt)
		return g_strdup("");
	return g_strdup_printf("X-Model: m\r\nX-Token-Count: 628,294\r\n"
			       "X-Prefix-Hash: 5c1e07a2:119,%x:79,%x:430\r\n",
	    0x91bd3f00 + c->number % PROMPTS,
	    0xe4400000 + c->number * 1000 + n);
}

/* Returns the header lines of a request's pieces. */
static char *
piece_fields(const struct caller *c, int n)
{
	if (c->all->o.pieces == 0)
		return g_strdup("");
	return g_strdup_printf("X-Pieces: %d\r\nX-Piece-Key: 7c1e%x\r\n",
	    c->all->o.pieces, c->number * 1000 + n);
}

static void
send_attempt(struct caller *c, int n)
{
	const struct callers_opts *o = &c->all->o;
	struct attempt a = { .host = c->host, .first = c->fresh };
	struct message m = { 0 };
	g_autofree char *prompt = prompt_fields(c, n);
	g_autofree char *pieces = piece_fields(c, n);
	g_autofree char *text = NULL;
	g_autofree char *leaving = NULL;

	snprintf(a.id, sizeof(a.id), "%s-%d-%d", o->prefix, c->number, n);
	text = g_strdup_printf(
	    "POST %s HTTP/1.1\r\nHost: %s\r\n"
	    "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
	    "X-Api-Key: %s\r\n%s%sContent-Length: %zu\r\n\r\n%s",
	    o->path, o->host, a.id, (int)o->deadline_ms, o->key, prompt, pieces,
	    strlen(BODY), BODY);
	a.sent = record_now();
	record("caller sends %s to %s, %s connection", a.id,
	    o->fleet->hosts[c->host].name, a.first ? "a new" : "a kept");
	c->fresh = false;
	if (wire_write(&c->w, text, strlen(text)) &&
	    wire_read(&c->w, a.sent + o->deadline_ms + PATIENCE_MS, &m)) {
		a.status = (int)strtol(m.first + strlen("HTTP/1.1 "), NULL, 10);
		a.complete = m.complete;
		a.head_at = m.head_at;
		leaving = message_field(&m, "Server-Leaving");
		a.leaving = leaving != NULL;
	}
	a.ended = record_now();
	record("caller got %s: status %d, %s", a.id, a.status,
	    a.status == 0    ? "connection closed without an answer"
		: a.complete ? "complete"
			     : "broken off");
	if (!a.complete || m.closes) {
		wire_close(&c->w, false);
		c->open = false;
	}
	message_free(&m);
	pthread_mutex_lock(&c->all->lock);
	g_array_append_val(c->all->attempts, a);
	pthread_mutex_unlock(&c->all->lock);
}

static void *
run_caller(void *arg)
{
	struct caller *c = arg;

	/* The callers begin at different times. */
	sleep_ms(rand_r(&c->seed) % (c->all->o.pause_max_ms + 1));
	for (int n = 0; !c->all->stopping; n++) {
		if (connect_caller(c))
			send_attempt(c, n);
		pause_caller(c);
	}
	if (c->open)
		wire_close(&c->w, false);
	g_free(c);
	return NULL;
}

struct callers *
callers_start(const struct callers_opts *o)
{
	struct callers *all = g_new0(struct callers, 1);

	all->o = *o;
	pthread_mutex_init(&all->lock, NULL);
	all->attempts = g_array_new(FALSE, FALSE, sizeof(struct attempt));
	all->threads = g_array_new(FALSE, FALSE, sizeof(pthread_t));
	for (int i = 0; i < o->n; i++) {
		struct caller *c = g_new0(struct caller, 1);
		pthread_t t;

		c->all = all;
		c->number = i;
		c->seed = (unsigned)(i * 7919 + 17);
		if (pthread_create(&t, NULL, run_caller, c) != 0)
			exit(2);
		g_array_append_val(all->threads, t);
	}
	return all;
}

void
callers_stop(struct callers *c)
{
	c->stopping = true;
	for (guint i = 0; i < c->threads->len; i++)
		pthread_join(g_array_index(c->threads, pthread_t, i), NULL);
}

const GArray *
callers_attempts(const struct callers *c)
{
	return c->attempts;
}
