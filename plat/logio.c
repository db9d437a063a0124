#include "plat/logio.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MIN_BACKOFF    (20 * USEC_PER_MSEC)
#define MAX_BACKOFF    (1 * USEC_PER_SEC)
/* Interval of reading the head's revision: the watch may miss a change. */
#define CHECK_INTERVAL (1 * USEC_PER_SEC)
/* A watch is replaced when it is older than this. */
#define WATCH_MAX_AGE  (60 * USEC_PER_SEC)

/* A request of the log: delayed, in flight or failed. */
struct job {
	struct logio *l;
	struct alog_request rq;
	usec_t not_before;
};

struct logio {
	struct logio_opts o;
	struct alog *log;
	GQueue delayed;       /* jobs that wait until not_before */
	GQueue in_flight;     /* jobs that wait for a response */
	GQueue failed;        /* jobs in back-off until not_before */
	usec_t failing_since; /* first failure; 0: the last call succeeded */
	usec_t backoff;       /* delay after the next failed call */
	double swap_tokens;   /* token bucket; negative: swaps are delayed */
	usec_t refilled_at;   /* when swap_tokens was last updated */
	usec_t now;           /* time of the current call */
	bool watching;        /* set by logio_set_watch() */
	uint64_t watch;       /* id of the watch; 0: none */
	/* Start of the watch; without one, the earliest start of the next. */
	usec_t watch_since;
	usec_t next_check;
	bool checking;      /* a read of the head's revision is in flight */
	uint64_t head_seen; /* revision of the newest head received */
};

static void
free_job(struct job *j)
{
	alog_request_free(&j->rq);
	free(j);
}

static void
head_received(struct logio *l, uint64_t revision, struct str value)
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
complete_job(struct logio *l, struct job *j, const struct alog_response *a)
{
	if (a->status == ALOG_OK && is_head(l, j->rq.key)) {
		if (j->rq.kind == ALOG_GET)
			head_received(l, a->revision, a->value);
		else if (j->rq.kind == ALOG_SWAP)
			head_received(l, a->revision, str_of(&j->rq.value));
	}
	alog_response(l->log, a);
	free_job(j);
	logio_pump(l, l->now);
}

static void
on_done(void *arg, const struct kv_result *r)
{
	struct job *j = arg;
	struct logio *l = j->l;
	struct alog_response a = {
		.id = j->rq.id,
		.revision = (uint64_t)r->mod_revision,
		.value = r->value,
	};

	g_queue_remove(&l->in_flight, j);
	l->now = clock_now();
	if (r->status == KV_UNKNOWN || r->status == KV_REFUSED) {
		j->not_before = l->now + l->backoff;
		if (l->failing_since == 0)
			l->failing_since = l->now;
		if (l->backoff < MAX_BACKOFF)
			l->backoff *= 2;
		g_queue_push_tail(&l->failed, j);
		return;
	}
	l->backoff = MIN_BACKOFF;
	l->failing_since = 0;
	a.status = r->status == KV_CONFLICT ? ALOG_CONFLICT : ALOG_OK;
	if (j->rq.kind == ALOG_GET && !r->found)
		a.status = ALOG_MISSING;
	complete_job(l, j, &a);
}

static void
dispatch_job(struct logio *l, struct job *j)
{
	struct kv_cas_opts cas = {
		.key = str_from(j->rq.key),
		.value = str_of(&j->rq.value),
	};

	g_queue_push_tail(&l->in_flight, j);
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

/*
 * Takes a token for one swap and returns 0, or takes none and returns the time
 * until one is available.
 */
static usec_t
take_swap_token(struct logio *l)
{
	double refill = (double)(l->now - l->refilled_at) / USEC_PER_SEC *
	    LOGIO_SWAPS_PER_SEC;

	l->refilled_at = l->now;
	l->swap_tokens += refill;
	if (l->swap_tokens > LOGIO_SWAP_BURST)
		l->swap_tokens = LOGIO_SWAP_BURST;
	if (l->swap_tokens >= 1) {
		l->swap_tokens -= 1;
		return 0;
	}
	return (
	    usec_t)((1 - l->swap_tokens) / LOGIO_SWAPS_PER_SEC * USEC_PER_SEC);
}

static void
start_request(struct logio *l, const struct alog_request *rq)
{
	struct job *j = xcalloc(1, sizeof(*j));
	usec_t wait = rq->kind == ALOG_SWAP ? take_swap_token(l) : 0;

	j->l = l;
	j->rq = *rq;
	if (wait == 0) {
		dispatch_job(l, j);
		return;
	}
	l->swap_tokens -= 1;
	j->not_before = l->now + wait;
	g_queue_push_tail(&l->delayed, j);
}

/* Sends the delayed jobs that are due. */
static void
send_due(struct logio *l)
{
	struct job *j;

	while ((j = g_queue_peek_head(&l->delayed)) != NULL &&
	    j->not_before <= l->now) {
		g_queue_pop_head(&l->delayed);
		dispatch_job(l, j);
	}
}

/*
 * Reports failed jobs to the log when their back-off is over; the log repeats
 * such requests at once.
 */
static void
report_failed(struct logio *l)
{
	struct job *j;

	while ((j = g_queue_peek_head(&l->failed)) != NULL &&
	    j->not_before <= l->now) {
		struct alog_response a = { .id = j->rq.id,
			.status = ALOG_LOST };

		g_queue_pop_head(&l->failed);
		complete_job(l, j, &a);
	}
}

static void
on_watch(void *arg, const struct kv_watch_event *w)
{
	struct logio *l = arg;

	l->now = clock_now();
	if (w->closed) {
		l->watch = 0;
		l->watch_since = l->now + MAX_BACKOFF;
		return;
	}
	if (w->deleted)
		return;
	head_received(l, (uint64_t)w->mod_revision, w->value);
	alog_watch_event(l->log, (uint64_t)w->mod_revision, w->value);
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

/* Reads only the revision of the head, in case the watch missed a change. */
static void
check_head_revision(struct logio *l)
{
	if (l->checking || l->now < l->next_check || !alog_ready(l->log))
		return;
	l->checking = true;
	l->next_check = l->now + CHECK_INTERVAL;
	kv_get_revision(l->o.kv, str_from(l->o.log.key), on_checked, l);
}

static void
update_watch(struct logio *l)
{
	if (l->watch != 0 &&
	    (!l->watching || l->now - l->watch_since > WATCH_MAX_AGE)) {
		kv_unwatch(l->o.kv, l->watch);
		l->watch = 0;
		l->watch_since = l->now;
	}
	if (l->watch == 0 && l->watching && l->now >= l->watch_since &&
	    alog_ready(l->log)) {
		l->watch = kv_watch(l->o.kv, str_from(l->o.log.key),
		    (int64_t)alog_revision(l->log) + 1, on_watch, l);
		l->watch_since = l->now;
	}
	if (l->watching)
		check_head_revision(l);
}

struct logio *
logio_new(const struct logio_opts *o)
{
	struct logio *l = xcalloc(1, sizeof(*l));

	l->o = *o;
	l->o.log.key = str_dup(str_from(o->log.key));
	l->log = alog_new(&l->o.log);
	l->backoff = MIN_BACKOFF;
	l->swap_tokens = LOGIO_SWAP_BURST;
	l->now = clock_now();
	l->refilled_at = l->now;
	l->next_check = l->now + CHECK_INTERVAL;
	g_queue_init(&l->delayed);
	g_queue_init(&l->in_flight);
	g_queue_init(&l->failed);
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
	struct alog_completion d;

	l->now = now;
	while (alog_request(l->log, &rq))
		start_request(l, &rq);
	while (alog_completion(l->log, &d))
		l->o.done(l->o.arg, &d);
	if (l->o.changed != NULL)
		l->o.changed(l->o.arg);
}

void
logio_tick(struct logio *l, usec_t now)
{
	l->now = now;
	send_due(l);
	report_failed(l);
	update_watch(l);
	logio_pump(l, now);
}

void
logio_set_watch(struct logio *l, bool watch)
{
	l->watching = watch;
}

void
logio_receive_head(
    struct logio *l, uint64_t revision, struct str value, usec_t now)
{
	head_received(l, revision, value);
	alog_watch_event(l->log, revision, value);
	logio_pump(l, now);
}

usec_t
logio_outage(const struct logio *l, usec_t now)
{
	return l->failing_since != 0 ? now - l->failing_since : 0;
}

static void
free_queue(GQueue *q)
{
	struct job *j;

	while ((j = g_queue_pop_head(q)) != NULL)
		free_job(j);
}

void
logio_free(struct logio *l)
{
	free_queue(&l->delayed);
	free_queue(&l->in_flight);
	free_queue(&l->failed);
	alog_free(l->log);
	free((char *)l->o.log.key);
	free(l);
}
