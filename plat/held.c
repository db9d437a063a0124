#include "plat/held.h"
#include "base/log.h"

#include <malloc.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/sysinfo.h>
#include <time.h>

#define NSEC_PER_SEC      1000000000L
/* Longest wait of a thread until it looks at the line again. */
#define RELEASE_WAIT_NSEC 50000000L
#define RUN_INTERVAL      (5 * USEC_PER_MSEC)
/* Buffers of at least this size go back to the system when they are freed. */
#define MMAP_BYTES        (128 * 1024)

struct host_memory {
	struct memory memory;
	pthread_mutex_t lock;
	pthread_cond_t released;
};

struct held_runner {
	struct host_memory *memory;
	struct event *timer;
};

struct host_memory *
host_memory_new(size_t limit)
{
	struct host_memory *m = xcalloc(1, sizeof(*m));
	pthread_condattr_t attr;

	/* Otherwise the size grows with the largest buffer that was freed. */
	mallopt(M_MMAP_THRESHOLD, MMAP_BYTES);
	memory_init(&m->memory, limit);
	pthread_mutex_init(&m->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&m->released, &attr);
	pthread_condattr_destroy(&attr);
	return m;
}

struct host_memory *
host_memory_open(size_t megabytes)
{
	struct sysinfo info;
	uint64_t most = (uint64_t)megabytes * 1024 * 1024;

	if (sysinfo(&info) == 0 && info.totalram > 0)
		most = MIN(most, (uint64_t)info.totalram * info.mem_unit);
	if (most < (uint64_t)MEMORY_HOST_MIN_MB * 1024 * 1024)
		log_text(LOG_LVL_WARNING, "memory-too-small",
		    "this machine has %llu bytes; sequoiad may take %d MB",
		    (unsigned long long)most, MEMORY_HOST_MIN_MB);
	return host_memory_new(memory_limit_of(most));
}

struct held_counts
host_memory_counts(struct host_memory *m)
{
	struct held_counts c = { 0 };

	if (m == NULL)
		return c;
	pthread_mutex_lock(&m->lock);
	c = (struct held_counts){
		.limit = m->memory.limit,
		.total = m->memory.total,
		.highest = m->memory.highest,
		.waits = m->memory.waits,
		.refused = m->memory.refused,
		.cut = m->memory.cut,
	};
	for (int i = 0; i < MEMORY_USES; i++)
		c.by_use[i] = m->memory.held[i];
	pthread_mutex_unlock(&m->lock);
	return c;
}

void
host_memory_tick(struct host_memory *m)
{
	usec_t now = clock_now();
	struct held_counts c;
	enum memory_change change;
	bool trim;

	if (m == NULL)
		return;
	pthread_mutex_lock(&m->lock);
	trim = memory_trim_due(&m->memory, now);
	change = memory_change(&m->memory, now);
	pthread_mutex_unlock(&m->lock);
	if (trim)
		malloc_trim(0);
	c = host_memory_counts(m);
	switch (change) {
	case MEMORY_SHORT:
		log_text(LOG_LVL_WARNING, "memory-short",
		    "%zu of %zu bytes are held: %zu of requests, %zu for other "
		    "hosts, %zu of answers, %zu unsent, %zu of the store; "
		    "reading waits",
		    c.total, c.limit, c.by_use[MEMORY_REQUEST],
		    c.by_use[MEMORY_PEER], c.by_use[MEMORY_ANSWER],
		    c.by_use[MEMORY_UNSENT], c.by_use[MEMORY_STORE]);
		break;
	case MEMORY_ENOUGH:
		log_text(LOG_LVL_NOTICE, "memory-enough",
		    "%zu of %zu bytes are held, at most %zu; %llu requests "
		    "were refused and %llu answers broken off so far",
		    c.total, c.limit, c.highest, (unsigned long long)c.refused,
		    (unsigned long long)c.cut);
		break;
	case MEMORY_SAME:
		break;
	}
}

void
host_memory_free(struct host_memory *m)
{
	if (m == NULL)
		return;
	pthread_cond_destroy(&m->released);
	pthread_mutex_destroy(&m->lock);
	free(m);
}

void
held_init(struct held *h, const struct held_opts *o)
{
	*h = (struct held){
		.memory = o->memory,
		.runner = o->runner,
		.go_on = o->go_on,
		.break_off = o->break_off,
		.arg = o->arg,
	};
	if (h->memory == NULL)
		return;
	pthread_mutex_lock(&h->memory->lock);
	memory_join(&h->memory->memory, &h->holder, o->use, h);
	pthread_mutex_unlock(&h->memory->lock);
}

void
held_limit(struct held *h, size_t n)
{
	h->holder.most = MIN(n, MEMORY_ITEM);
}

void
held_end(struct held *h)
{
	struct host_memory *m = h->memory;

	if (m == NULL)
		return;
	pthread_mutex_lock(&m->lock);
	memory_leave(&m->memory, &h->holder);
	pthread_cond_broadcast(&m->released);
	pthread_mutex_unlock(&m->lock);
	h->memory = NULL;
}

void
held_add(struct held *h, size_t n)
{
	if (h->memory == NULL || n == 0)
		return;
	pthread_mutex_lock(&h->memory->lock);
	memory_hold(&h->memory->memory, &h->holder, n, clock_now());
	pthread_mutex_unlock(&h->memory->lock);
}

void
held_drop(struct held *h, size_t n)
{
	if (h->memory == NULL || n == 0)
		return;
	pthread_mutex_lock(&h->memory->lock);
	memory_release(&h->memory->memory, &h->holder, n);
	pthread_cond_broadcast(&h->memory->released);
	pthread_mutex_unlock(&h->memory->lock);
}

void
held_set(struct held *h, size_t n)
{
	if (n > h->counted)
		held_add(h, n - h->counted);
	else
		held_drop(h, h->counted - n);
	h->counted = n;
}

static void
on_buffer_change(
    struct evbuffer *b, const struct evbuffer_cb_info *info, void *arg)
{
	struct held *h = arg;

	(void)b;
	if (info->n_added > info->n_deleted)
		held_add(h, info->n_added - info->n_deleted);
	else
		held_drop(h, info->n_deleted - info->n_added);
}

void
held_watch(struct held *h, struct evbuffer *b)
{
	if (h->memory == NULL)
		return;
	held_add(h, evbuffer_get_length(b));
	evbuffer_add_cb(b, on_buffer_change, h);
}

void
held_unwatch(struct held *h, struct evbuffer *b)
{
	if (h->memory != NULL)
		evbuffer_remove_cb(b, on_buffer_change, h);
}

static void
run_later(struct held_runner *r)
{
	struct timeval tv = { 0, RUN_INTERVAL };

	if (!evtimer_pending(r->timer, NULL))
		evtimer_add(r->timer, &tv);
}

bool
held_may_read(struct held *h, size_t need)
{
	bool may;

	if (h->memory == NULL)
		return true;
	pthread_mutex_lock(&h->memory->lock);
	may =
	    memory_may_read(&h->memory->memory, &h->holder, need, clock_now());
	pthread_mutex_unlock(&h->memory->lock);
	if (!may && h->runner != NULL)
		run_later(h->runner);
	return may;
}

size_t
held_room(const struct held *h)
{
	size_t n;

	if (h->memory == NULL)
		return SIZE_MAX;
	pthread_mutex_lock(&h->memory->lock);
	n = memory_room(&h->holder);
	pthread_mutex_unlock(&h->memory->lock);
	return n;
}

bool
held_is_cut(const struct held *h)
{
	bool cut;

	if (h->memory == NULL)
		return false;
	pthread_mutex_lock(&h->memory->lock);
	cut = h->cut;
	pthread_mutex_unlock(&h->memory->lock);
	return cut;
}

void
held_next_receiver(struct held *h)
{
	if (h->memory == NULL)
		return;
	pthread_mutex_lock(&h->memory->lock);
	h->cut = false;
	pthread_mutex_unlock(&h->memory->lock);
}

bool
held_reads_on(const struct held *h, bool paused)
{
	bool reads;

	if (h->memory == NULL)
		return true;
	pthread_mutex_lock(&h->memory->lock);
	reads = memory_reads_on(&h->memory->memory, &h->holder, paused);
	pthread_mutex_unlock(&h->memory->lock);
	return reads;
}

bool
held_is_waiting(const struct held *h)
{
	bool waiting;

	if (h->memory == NULL)
		return false;
	pthread_mutex_lock(&h->memory->lock);
	waiting = h->holder.waiting;
	pthread_mutex_unlock(&h->memory->lock);
	return waiting;
}

usec_t
held_waited(const struct held *h)
{
	usec_t t;

	if (h->memory == NULL)
		return 0;
	pthread_mutex_lock(&h->memory->lock);
	t = memory_waited(&h->holder, clock_now());
	pthread_mutex_unlock(&h->memory->lock);
	return t;
}

void
held_complete(struct held *h)
{
	if (h->memory == NULL)
		return;
	pthread_mutex_lock(&h->memory->lock);
	memory_complete(&h->memory->memory, &h->holder);
	pthread_mutex_unlock(&h->memory->lock);
}

size_t
held_largest(const struct held *h)
{
	return h->memory == NULL
	    ? SIZE_MAX
	    : memory_largest(&h->memory->memory, h->holder.use);
}

bool
held_fits(const struct held *h, size_t n)
{
	return n <= held_largest(h);
}

bool
held_can_grow(const struct held *h, size_t n)
{
	return h->memory == NULL ||
	    memory_can_grow(&h->memory->memory, h->holder.use, n);
}

bool
held_refuses(struct held *h)
{
	bool refuses;

	if (h->memory == NULL)
		return false;
	pthread_mutex_lock(&h->memory->lock);
	refuses = memory_refuses(&h->memory->memory, &h->holder, clock_now());
	pthread_mutex_unlock(&h->memory->lock);
	return refuses;
}

bool
held_refuses_complete(struct held *h, size_t body_bytes)
{
	bool refuses;

	if (h->memory == NULL)
		return false;
	pthread_mutex_lock(&h->memory->lock);
	refuses = memory_refuses_complete(
	    &h->memory->memory, &h->holder, body_bytes, clock_now());
	pthread_mutex_unlock(&h->memory->lock);
	return refuses;
}

/* Waits until bytes are released, or for a while. */
static void
wait_for_release(struct host_memory *m)
{
	struct timespec end;

	clock_gettime(CLOCK_MONOTONIC, &end);
	end.tv_nsec += RELEASE_WAIT_NSEC;
	if (end.tv_nsec >= NSEC_PER_SEC) {
		end.tv_sec++;
		end.tv_nsec -= NSEC_PER_SEC;
	}
	pthread_cond_timedwait(&m->released, &m->lock, &end);
}

bool
held_wait(struct held *h, size_t n, size_t need)
{
	struct host_memory *m = h->memory;
	bool may;

	if (m == NULL)
		return true;
	pthread_mutex_lock(&m->lock);
	may = memory_may_read(&m->memory, &h->holder, need, clock_now());
	while (!may) {
		/* A holder of the pool that may read on leaves the line. */
		memory_next(&m->memory, MEMORY_REQUESTS, clock_now());
		may = !h->holder.waiting;
		if (may || memory_refuses(&m->memory, &h->holder, clock_now()))
			break;
		wait_for_release(m);
	}
	if (may)
		memory_hold(&m->memory, &h->holder, n, clock_now());
	pthread_mutex_unlock(&m->lock);
	return may;
}

static struct held *
take_next(struct host_memory *m, enum memory_pool pool)
{
	struct memory_holder *x;

	pthread_mutex_lock(&m->lock);
	x = memory_next(&m->memory, pool, clock_now());
	pthread_mutex_unlock(&m->lock);
	return x != NULL ? x->owner : NULL;
}

/* An account without break_off may end as soon as the lock is released. */
static struct held *
take_slowest(struct host_memory *m)
{
	struct memory_holder *x;
	struct held *h = NULL;

	pthread_mutex_lock(&m->lock);
	x = memory_slowest(&m->memory, clock_now());
	if (x != NULL) {
		h = x->owner;
		h->cut = true;
		if (h->break_off == NULL)
			h = NULL;
	}
	pthread_mutex_unlock(&m->lock);
	return h;
}

bool
held_run(struct host_memory *m, enum memory_pool pool)
{
	struct held *h;
	bool waiting;

	if (m == NULL)
		return false;
	while ((h = take_next(m, pool)) != NULL) {
		if (h->go_on != NULL)
			h->go_on(h->arg);
	}
	if (pool == MEMORY_ANSWERS && (h = take_slowest(m)) != NULL)
		h->break_off(h->arg);
	pthread_mutex_lock(&m->lock);
	waiting = memory_has_waiting(&m->memory, pool);
	pthread_mutex_unlock(&m->lock);
	return waiting;
}

static void
on_run(evutil_socket_t fd, short what, void *arg)
{
	struct held_runner *r = arg;
	bool requests = held_run(r->memory, MEMORY_REQUESTS);
	bool answers = held_run(r->memory, MEMORY_ANSWERS);

	(void)fd;
	(void)what;
	if (requests || answers)
		run_later(r);
}

struct held_runner *
held_runner_new(struct host_memory *m, struct event_base *base)
{
	struct held_runner *r = xcalloc(1, sizeof(*r));

	r->memory = m;
	r->timer = evtimer_new(base, on_run, r);
	return r;
}

void
held_runner_free(struct held_runner *r)
{
	if (r == NULL)
		return;
	event_free(r->timer);
	free(r);
}
