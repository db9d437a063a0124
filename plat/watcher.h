/*
 * Follows all items under a prefix of the key-value service: a whole reading,
 * then the changes as they come.
 *
 * A wait that ends without an answer, a refusal or lost history never loses a
 * change: the follower waits again from the same revision, or reads the whole
 * prefix again.  Calls that fail are repeated with a growing pause.
 */
#ifndef PLAT_WATCHER_H
#define PLAT_WATCHER_H

#include "plat/kv.h"

struct watcher;

enum watcher_event {
	WATCHER_LIST_BEGIN,  /* a whole reading starts */
	WATCHER_PUT,         /* key and value */
	WATCHER_DELETE,      /* key */
	WATCHER_LIST_END,    /* the whole reading is complete */
	WATCHER_UNAVAILABLE, /* the service does not answer */
	WATCHER_AVAILABLE    /* it answers again */
};

struct watcher_opts {
	struct kv *kv;
	struct str prefix;   /* must outlive the follower */
	usec_t poll_timeout; /* longest time without an answer of the service */
	uint64_t seed;
	void (*handler)(
	    void *arg, enum watcher_event ev, struct str key, struct str value);
	/* All changes after a revision up to c->as_of; or NULL. */
	void (*batch)(void *arg, int64_t after, const struct kv_changes *c);
	void *arg;
};

struct watcher *watcher_new(const struct watcher_opts *o);
/* Starts what is due; returns when to call it again. */
usec_t watcher_tick(struct watcher *f, usec_t now);
/* The revision up to which everything is known; 0: nothing whole yet. */
int64_t watcher_revision(const struct watcher *f);
/* Everything up to a revision is known from elsewhere. */
void watcher_set_revision(struct watcher *f, int64_t revision);
void watcher_free(struct watcher *f);

#endif
