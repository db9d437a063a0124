#include "plat/logio.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_PAUSE   (20 * USEC_PER_MSEC)
#define LONGEST_PAUSE (1 * USEC_PER_SEC)
#define CHECK         (1 * USEC_PER_SEC)  /* in case the watch is silent */
#define WATCH_LIFE    (60 * USEC_PER_SEC) /* then it is made anew */

/* A request of the log that waits for its turn or for its answer. */
struct job {
	struct logio *l;
	struct alog_request rq;
	usec_t not_before;
};

struct logio {
	struct logio_opts o;
	struct alog *log;
	GQueue held;       /* jobs that wait until not_before */
	GQueue open;       /* jobs whose answer is awaited */
	GQueue lost;       /* jobs without an answer, until not_before */
	usec_t failing_at; /* since when; 0: it answers */
	usec_t pause;      /* after the next lost answer */
	double swaps;      /* left in the bucket */
	usec_t filled_at;
	usec_t now;
	bool follow;
	uint64_t watch;  /* 0: none */
	usec_t watch_at; /* when it began, or may begin again */
	usec_t check_at;
	bool checking; /* the head's revision is being read */
	uint64_t head_seen;
};

static void
free_job(struct job *j)
{
	alog_request_free(&j->rq);
	free(j);
}

static void
saw_head(struct logio *l, uint64_t revision, struct str value)
{
	if (revision <= l->head_seen)
		return;
	l->head_seen = revision;
	if (l->o.head != NULL)
		l->o.head(l->o.arg, revision, value);
}

static bool
is_head(const struct logio *l, const char *key)
{
	return strcmp(key, l->o.log.key) == 0;
}

static void
answer(struct logio *l, struct job *j, const struct alog_answer *a)
{
	if (a->status == ALOG_OK && is_head(l, j->rq.key)) {
		if (j->rq.kind == ALOG_GET)
			saw_head(l, a->revision, a->value);
		else if (j->rq.kind == ALOG_SWAP)
			saw_head(l, a->revision, str_of(&j->rq.value));
	}
	alog_answer(l->log, a);
	free_job(j);
	logio_pump(l, l->now);
}

static void
on_done(void *arg, const struct kv_result *r)
{
	struct job *j = arg;
	struct logio *l = j->l;
	struct alog_answer a = {
		.id = j->rq.id,
		.revision = (uint64_t)r->mod_revision,
		.value = r->value,
	};

	g_queue_remove(&l->open, j);
	l->now = clock_now();
	if (r->status == KV_UNKNOWN || r->status == KV_REFUSED) {
		j->not_before = l->now + l->pause;
		if (l->failing_at == 0)
			l->failing_at = l->now;
		if (l->pause < LONGEST_PAUSE)
			l->pause *= 2;
		g_queue_push_tail(&l->lost, j);
		return;
	}
	l->pause = FIRST_PAUSE;
	l->failing_at = 0;
	a.status = r->status == KV_CONFLICT ? ALOG_CONFLICT : ALOG_OK;
	if (j->rq.kind == ALOG_GET && !r->found)
		a.status = ALOG_MISSING;
	answer(l, j, &a);
}

static void
send(struct logio *l, struct job *j)
{
	struct kv_cas_opts cas = {
		.key = str_from(j->rq.key),
		.value = str_of(&j->rq.value),
	};

	g_queue_push_tail(&l->open, j);
	switch (j->rq.kind) {
	case ALOG_GET:
		kv_get(l->o.kv, cas.key, on_done, j);
		break;
	case ALOG_SWAP:
		cas.expect = (int64_t)j->rq.revision;
		kv_cas(l->o.kv, &cas, on_done, j);
		break;
	case ALOG_CREATE:
		kv_cas(l->o.kv, &cas, on_done, j);
		break;
	case ALOG_DELETE:
		kv_delete(l->o.kv, cas.key, on_done, j);
		break;
	}
}

/* Takes a swap out of the bucket; the time until there is one otherwise. */
static usec_t
take_swap(struct logio *l)
{
	double more = (double)(l->now - l->filled_at) / USEC_PER_SEC *
	    LOGIO_SWAPS_PER_SEC;

	l->filled_at = l->now;
	l->swaps += more;
	if (l->swaps > LOGIO_SWAP_BURST)
		l->swaps = LOGIO_SWAP_BURST;
	if (l->swaps >= 1) {
		l->swaps -= 1;
		return 0;
	}
	return (usec_t)((1 - l->swaps) / LOGIO_SWAPS_PER_SEC * USEC_PER_SEC);
}

static void
start(struct logio *l, const struct alog_request *rq)
{
	struct job *j = xcalloc(1, sizeof(*j));
	usec_t wait = rq->kind == ALOG_SWAP ? take_swap(l) : 0;

	j->l = l;
	j->rq = *rq;
	if (wait == 0) {
		send(l, j);
		return;
	}
	l->swaps -= 1;
	j->not_before = l->now + wait;
	g_queue_push_tail(&l->held, j);
}

static void
send_due(struct logio *l)
{
	struct job *j;

	while ((j = g_queue_peek_head(&l->held)) != NULL &&
	    j->not_before <= l->now) {
		g_queue_pop_head(&l->held);
		send(l, j);
	}
}

static void
lose_due(struct logio *l)
{
	struct job *j;

	while ((j = g_queue_peek_head(&l->lost)) != NULL &&
	    j->not_before <= l->now) {
		struct alog_answer a = { .id = j->rq.id, .status = ALOG_LOST };

		g_queue_pop_head(&l->lost);
		answer(l, j, &a);
	}
}

static void
on_watch(void *arg, const struct kv_watched *w)
{
	struct logio *l = arg;

	l->now = clock_now();
	if (w->closed) {
		l->watch = 0;
		l->watch_at = l->now + LONGEST_PAUSE;
		return;
	}
	if (w->deleted)
		return;
	saw_head(l, (uint64_t)w->mod_revision, w->value);
	alog_watched(l->log, (uint64_t)w->mod_revision, w->value);
	logio_pump(l, l->now);
}

static void
on_checked(void *arg, const struct kv_result *r)
{
	struct logio *l = arg;

	l->checking = false;
	if (r->status != KV_OK ||
	    (uint64_t)r->mod_revision <= alog_revision(l->log))
		return;
	l->now = clock_now();
	alog_refresh(l->log);
	logio_pump(l, l->now);
}

/* Reads only the revision of the head, in case the watch is silent. */
static void
check(struct logio *l)
{
	if (l->checking || l->now < l->check_at || !alog_ready(l->log))
		return;
	l->checking = true;
	l->check_at = l->now + CHECK;
	kv_revision(l->o.kv, str_from(l->o.log.key), on_checked, l);
}

static void
keep_watch(struct logio *l)
{
	if (l->watch != 0 &&
	    (!l->follow || l->now - l->watch_at > WATCH_LIFE)) {
		kv_unwatch(l->o.kv, l->watch);
		l->watch = 0;
		l->watch_at = l->now;
	}
	if (l->watch == 0 && l->follow && l->now >= l->watch_at &&
	    alog_ready(l->log)) {
		l->watch = kv_watch(l->o.kv, str_from(l->o.log.key),
		    (int64_t)alog_revision(l->log) + 1, on_watch, l);
		l->watch_at = l->now;
	}
	if (l->follow)
		check(l);
}

struct logio *
logio_new(const struct logio_opts *o)
{
	struct logio *l = xcalloc(1, sizeof(*l));

	l->o = *o;
	l->o.log.key = str_dup(str_from(o->log.key));
	l->log = alog_new(&l->o.log);
	l->pause = FIRST_PAUSE;
	l->swaps = LOGIO_SWAP_BURST;
	l->now = clock_now();
	l->filled_at = l->now;
	l->check_at = l->now + CHECK;
	g_queue_init(&l->held);
	g_queue_init(&l->open);
	g_queue_init(&l->lost);
	return l;
}

struct alog *
logio_log(struct logio *l)
{
	return l->log;
}

void
logio_pump(struct logio *l, usec_t now)
{
	struct alog_request rq;
	struct alog_done d;

	l->now = now;
	while (alog_request(l->log, &rq))
		start(l, &rq);
	while (alog_done(l->log, &d))
		l->o.done(l->o.arg, &d);
	if (l->o.changed != NULL)
		l->o.changed(l->o.arg);
}

void
logio_tick(struct logio *l, usec_t now)
{
	l->now = now;
	send_due(l);
	lose_due(l);
	keep_watch(l);
	logio_pump(l, now);
}

void
logio_follow(struct logio *l, bool follow)
{
	l->follow = follow;
}

void
logio_offer(struct logio *l, uint64_t revision, struct str value, usec_t now)
{
	saw_head(l, revision, value);
	alog_watched(l->log, revision, value);
	logio_pump(l, now);
}

usec_t
logio_failing(const struct logio *l, usec_t now)
{
	return l->failing_at != 0 ? now - l->failing_at : 0;
}

static void
free_queue(GQueue *q)
{
	struct job *j;

	while ((j = g_queue_pop_head(q)) != NULL)
		free_job(j);
}

/* To be freed after its kv client, which still refers to open jobs. */
void
logio_free(struct logio *l)
{
	free_queue(&l->held);
	free_queue(&l->open);
	free_queue(&l->lost);
	alog_free(l->log);
	free((char *)l->o.log.key);
	free(l);
}
