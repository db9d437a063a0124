/*
 * Watches all items under a prefix of the key-value service: lists the prefix
 * once (kernel/store_listing.h), then long-polls for changes.
 *
 * No change is lost when a long poll fails, is refused or needs changes that
 * the service no longer retains: the watcher polls again from the same revision
 * or lists the whole prefix again.  It also does that if the service was
 * restored from an older copy, which a higher era shows, or a revision lower
 * than one known.  Failed calls are retried with exponential back-off and
 * jitter.  A watcher belongs to the thread of its kv client.
 */
#ifndef PLAT_WATCHER_H
#define PLAT_WATCHER_H

#include "kernel/store_position.h"
#include "plat/kv.h"

struct watcher;

enum watcher_event {
	/*
	 * The service was restored from an older copy, so its revisions don't
	 * continue those known: a full listing follows.
	 */
	WATCHER_RESTORED,
	WATCHER_LIST_BEGIN,  /* a full listing begins */
	WATCHER_PUT,         /* an item was listed or written: key and value */
	WATCHER_DELETE,      /* an item was deleted: key */
	WATCHER_LIST_END,    /* the full listing is complete */
	WATCHER_UNAVAILABLE, /* a call failed or was refused */
	WATCHER_AVAILABLE    /* a call succeeded after WATCHER_UNAVAILABLE */
};

struct watcher_opts {
	struct kv *kv;
	struct str prefix;   /* must outlive the watcher */
	usec_t poll_timeout; /* how long the service holds a poll open */
	uint64_t seed;       /* random seed of the jitter */
	void (*handler)(
	    void *arg, enum watcher_event ev, struct str key, struct str value);
	/*
	 * Optional: called after the handler with all changes of one poll,
	 * which are those of the revisions from after + 1 to c->as_of.
	 */
	void (*batch)(void *arg, int64_t after, const struct kv_changes *c);
	void *arg;
};

struct watcher *watcher_new(const struct watcher_opts *o);
/* Starts the next call if it is due; returns when to call this again. */
usec_t watcher_tick(struct watcher *w, usec_t now);
/*
 * Returns the revision up to which all changes are known; 0 if no listing is
 * complete.
 */
int64_t watcher_revision(const struct watcher *w);
/* Returns when the last bytes of the call in flight arrived; 0: none is. */
usec_t watcher_arrived_at(const struct watcher *w);
/*
 * Returns how far what was delivered reaches, also while a listing is made that
 * is not complete.
 */
struct store_position watcher_position(const struct watcher *w);
/* Records that all changes up to a revision were received from elsewhere. */
void watcher_set_revision(struct watcher *w, int64_t revision);
/*
 * The service was restored, as another host has seen: lists the whole prefix
 * again, after a random delay.
 */
void watcher_restored(struct watcher *w, usec_t max_delay);
/* Returns the highest era that the service has named; 0: none. */
uint64_t watcher_era(const struct watcher *w);
void watcher_free(struct watcher *w);

#endif
