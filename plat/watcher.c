#include "plat/watcher.h"
#include "base/rng.h"
#include "kernel/store_listing.h"

#include <stdlib.h>

/* Several response times of a healthy service (4 ms each). */
#define BACKOFF_MIN      (100 * USEC_PER_MSEC)
/* Keeps the time to notice that the service is back well below 2 s. */
#define BACKOFF_MAX      (500 * USEC_PER_MSEC)
/*
 * Shortest time from a poll that returned changes to the next one.  A poll ends
 * with the first change; while many targets register, each host would call once
 * for each of them.
 */
#define CHANGE_INTERVAL  (200 * USEC_PER_MSEC)
/* Longer, because the service counts refused calls against its limit too. */
#define BACKOFF_REFUSED  (400 * USEC_PER_MSEC)
/*
 * From the begin of the first listing to the first poll: many hosts start
 * together, and by then most of them have learned of a host that forwards
 * changes.  What a slow listing says is old, and is polled for at once.
 */
#define FIRST_POLL_DELAY (500 * USEC_PER_MSEC)

struct watcher {
	struct watcher_opts o;
	struct rng rng;
	bool synced; /* the whole prefix is known up to revision */
	bool in_flight;
	bool unavailable;
	bool restored; /* since the last complete listing */
	bool stale;    /* the call in flight is of before a restore */
	uint64_t era;  /* highest that the service has named; 0: none */
	int64_t revision;
	int64_t polled_revision; /* from which the last poll was made */
	struct store_listing listing;
	usec_t began_at; /* the listing */
	uint64_t call;   /* the one in flight; 0: none */
	usec_t due_at;   /* its response may begin later until then */
	usec_t patience; /* from then on, and while it arrives */
	usec_t backoff;  /* delay after the last call; 0: it succeeded */
	usec_t next_at;  /* earliest time of the next call */
};

struct watcher *
watcher_new(const struct watcher_opts *o)
{
	struct watcher *w = xcalloc(1, sizeof(*w));

	w->o = *o;
	rng_init(&w->rng, o->seed);
	return w;
}

static void
notify(struct watcher *w, enum watcher_event ev)
{
	w->o.handler(w->o.arg, ev, STR(""), STR(""));
}

static void
set_unavailable(struct watcher *w)
{
	if (w->unavailable)
		return;
	w->unavailable = true;
	notify(w, WATCHER_UNAVAILABLE);
}

/* Schedules a retry with jitter, so that hosts do not call in lockstep. */
static void
call_failed(struct watcher *w, enum kv_status st)
{
	usec_t min = st == KV_REFUSED ? BACKOFF_REFUSED : BACKOFF_MIN;

	w->backoff = w->backoff == 0 ? min : 2 * w->backoff;
	if (w->backoff > BACKOFF_MAX)
		w->backoff = BACKOFF_MAX;
	w->next_at = clock_now() + w->backoff / 2 +
	    (usec_t)rng_below(&w->rng, (uint64_t)w->backoff);
	set_unavailable(w);
}

static void
call_ok(struct watcher *w)
{
	w->backoff = 0;
	w->next_at = 0;
	if (!w->unavailable)
		return;
	w->unavailable = false;
	notify(w, WATCHER_AVAILABLE);
}

static void
deliver_changes(struct watcher *w, const struct kv_changes *c)
{
	for (size_t i = 0; i < c->n; i++)
		w->o.handler(w->o.arg,
		    c->v[i].deleted ? WATCHER_DELETE : WATCHER_PUT,
		    str_of(&c->v[i].key), str_of(&c->v[i].value));
}

/* Whether an answer shows a later era than those before. */
static bool
is_later_era(struct watcher *w, uint64_t era)
{
	bool later = w->era != 0 && era > w->era;

	if (era > w->era)
		w->era = era;
	return later;
}

/* What is known is of before a restore: it is listed anew. */
static void
note_restored(struct watcher *w)
{
	w->synced = false;
	store_listing_end(&w->listing);
	if (w->restored)
		return;
	w->restored = true;
	notify(w, WATCHER_RESTORED);
}

/* A call failed: a listing goes on later. */
static void
end_failed(struct watcher *w, enum kv_status st)
{
	w->in_flight = false;
	w->stale = false;
	call_failed(w, st);
}

static void
on_page(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct watcher *w = arg;
	struct store_listing *l = &w->listing;
	bool first = l->last_key.n == 0;
	bool later;

	w->in_flight = false;
	w->call = 0;
	/* Without a new key to go on from, the list can't be completed. */
	if (st == KV_OK && c->more &&
	    str_eq(str_of(&c->last_key), str_of(&l->last_key))) {
		store_listing_end(l);
		end_failed(w, KV_UNKNOWN);
		return;
	}
	if (st != KV_OK) {
		end_failed(w, st);
		return;
	}
	call_ok(w);
	later = is_later_era(w, c->era);
	if (w->stale || c->as_of < (first ? w->revision : l->revision) ||
	    later) {
		note_restored(w);
		/* A first page is of the restored service. */
		if (first && !w->stale)
			store_listing_begin(l);
		w->stale = false;
		if (!l->active)
			return;
	}
	if (first)
		notify(w, WATCHER_LIST_BEGIN);
	store_listing_read(l, c->as_of, str_of(&c->last_key));
	deliver_changes(w, c);
	if (c->more)
		return;
	store_listing_end(l);
	w->synced = true;
	w->restored = false;
	if (w->revision == 0)
		w->next_at = w->began_at + FIRST_POLL_DELAY;
	w->revision = l->revision;
	notify(w, WATCHER_LIST_END);
}

static void
on_poll(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct watcher *w = arg;

	w->in_flight = false;
	w->call = 0;
	if (w->stale) {
		w->stale = false;
		return;
	}
	switch (st) {
	case KV_OK:
		call_ok(w);
		if (is_later_era(w, c->era) || c->as_of < w->polled_revision) {
			note_restored(w);
			break;
		}
		if (c->n > 0)
			w->next_at = clock_now() + CHANGE_INTERVAL;
		/* Changes from elsewhere may be later than the reply. */
		if (c->as_of < w->revision)
			break;
		if (c->as_of > w->revision)
			deliver_changes(w, c);
		if (w->o.batch != NULL)
			w->o.batch(w->o.arg, w->revision, c);
		w->revision = c->as_of;
		break;
	case KV_NO_HISTORY:
		call_ok(w);
		w->synced = false;
		break;
	case KV_CONFLICT:
	case KV_REFUSED:
	case KV_UNKNOWN:
		call_failed(w, st);
		break;
	}
}

/* Looks at the call in flight; returns when to do so again. */
static usec_t
check_call(struct watcher *w, usec_t now)
{
	usec_t arrived_at = kv_arrived_at(w->o.kv, w->call);

	switch (store_listing_judge(
	    now - w->due_at, now - arrived_at, w->patience)) {
	case STORE_PAGE_IN_TIME:
		return w->due_at + w->patience;
	case STORE_PAGE_SLOW:
		set_unavailable(w);
		return arrived_at + w->patience;
	case STORE_PAGE_SILENT:
		break;
	}
	kv_cancel(w->o.kv, w->call);
	w->call = 0;
	end_failed(w, KV_UNKNOWN);
	return w->next_at;
}

usec_t
watcher_tick(struct watcher *w, usec_t now)
{
	if (w->in_flight)
		return check_call(w, now);
	if (now < w->next_at)
		return w->next_at;
	w->in_flight = true;
	w->polled_revision = w->revision;
	if (w->synced) {
		usec_t wait = w->unavailable ? 0 : w->o.poll_timeout;

		w->due_at = now + wait;
		w->patience = wait > 0 ? kv_timeout(w->o.kv) : KV_PROBE_TIMEOUT;
		w->call = kv_poll(w->o.kv,
		    &(struct kv_poll_opts){ .prefix = w->o.prefix,
			.after = w->revision,
			.wait = wait,
			.timeout = STORE_PAGE_TIME_MAX },
		    on_poll, w);
		return w->due_at + w->patience;
	}
	if (!w->listing.active)
		w->began_at = now;
	store_listing_begin(&w->listing);
	w->due_at = now;
	w->patience = kv_timeout(w->o.kv);
	w->call = kv_range(w->o.kv,
	    &(struct kv_range_opts){ .prefix = w->o.prefix,
		.after = str_of(&w->listing.last_key),
		.timeout = STORE_PAGE_TIME_MAX },
	    on_page, w);
	return now + w->patience;
}

int64_t
watcher_revision(const struct watcher *w)
{
	return w->synced ? w->revision : 0;
}

usec_t
watcher_arrived_at(const struct watcher *w)
{
	return w->in_flight ? kv_arrived_at(w->o.kv, w->call) : 0;
}

struct store_position
watcher_position(const struct watcher *w)
{
	return store_listing_position(&w->listing,
	    (struct store_position){ w->era, w->restored ? 0 : w->revision });
}

void
watcher_set_revision(struct watcher *w, int64_t revision)
{
	if (revision > w->revision)
		w->revision = revision;
	w->synced = true;
}

void
watcher_restored(struct watcher *w, usec_t max_delay)
{
	usec_t at =
	    clock_now() + (usec_t)rng_below(&w->rng, (uint64_t)max_delay);

	w->stale = w->in_flight;
	if (w->next_at < at)
		w->next_at = at;
	note_restored(w);
}

uint64_t
watcher_era(const struct watcher *w)
{
	return w->era;
}

void
watcher_free(struct watcher *w)
{
	store_listing_free(&w->listing);
	free(w);
}
