/*
 * Watches all items under a prefix of the key-value service: lists the prefix
 * once, then long-polls for changes.
 *
 * No change is lost by a long poll that fails, is refused or asks for history
 * that the service has dropped: the watcher polls again from the same revision
 * or lists the whole prefix again.  Failed calls are retried with exponential
 * back-off and jitter.
 */
#ifndef PLAT_WATCHER_H
#define PLAT_WATCHER_H

#include "plat/kv.h"

struct watcher;

enum watcher_event {
	WATCHER_LIST_BEGIN,  /* a full listing begins */
	WATCHER_PUT,         /* an item was listed or written: key and value */
	WATCHER_DELETE,      /* an item was deleted: key */
	WATCHER_LIST_END,    /* the full listing is complete */
	WATCHER_UNAVAILABLE, /* a call failed: the service does not respond */
	WATCHER_AVAILABLE    /* the service responds again */
};

struct watcher_opts {
	struct kv *kv;
	struct str prefix;   /* must outlive the watcher */
	usec_t poll_timeout; /* how long the service holds a poll open */
	uint64_t seed;       /* of the jitter */
	void (*handler)(
	    void *arg, enum watcher_event ev, struct str key, struct str value);
	/*
	 * Optional: called after the handler with all changes of one poll,
	 * those after a revision up to c->as_of.
	 */
	void (*batch)(void *arg, int64_t after, const struct kv_changes *c);
	void *arg;
};

struct watcher *watcher_new(const struct watcher_opts *o);
/* Starts the next call if it is due; returns when to call it again. */
usec_t watcher_tick(struct watcher *w, usec_t now);
/* Revision up to which all changes are known; 0: no listing is complete. */
int64_t watcher_revision(const struct watcher *w);
/* All changes up to a revision were received from another source. */
void watcher_set_revision(struct watcher *w, int64_t revision);
void watcher_free(struct watcher *w);

#endif
