/*
 * Follows all items under a prefix of the key-value service: a whole reading,
 * then the changes as they come.
 *
 * A wait that ends without an answer, a refusal or lost history never loses a
 * change: the follower waits again from the same revision, or reads the whole
 * prefix again.  Calls that fail are repeated with a growing pause.
 */
#ifndef PLAT_FOLLOW_H
#define PLAT_FOLLOW_H

#include "plat/kv.h"

struct follow;

enum follow_event {
	FOLLOW_BEGIN,  /* a whole reading starts */
	FOLLOW_PUT,    /* key and value */
	FOLLOW_GONE,   /* key */
	FOLLOW_FINISH, /* the whole reading is complete */
	FOLLOW_AWAY,   /* the service does not answer */
	FOLLOW_BACK    /* it answers again */
};

struct follow_opts {
	struct kv *kv;
	struct str prefix; /* must outlive the follower */
	usec_t wait;       /* longest time without an answer of the service */
	uint64_t seed;
	void (*handler)(
	    void *arg, enum follow_event ev, struct str key, struct str value);
	/* All changes after a revision up to c->as_of; or NULL. */
	void (*batch)(void *arg, int64_t after, const struct kv_changes *c);
	void *arg;
};

struct follow *follow_new(const struct follow_opts *o);
/* Starts what is due; returns when to call it again. */
usec_t follow_tick(struct follow *f, usec_t now);
/* The revision up to which everything is known; 0: nothing whole yet. */
int64_t follow_revision(const struct follow *f);
/* Everything up to a revision is known from elsewhere. */
void follow_adopt(struct follow *f, int64_t revision);
void follow_free(struct follow *f);

#endif
