/*
 * What the files of the steward share: steward.c has the thread, the store and
 * the targets, steward_config.c how a configuration comes and is passed on,
 * steward_feed.c what hosts tell each other of the store.
 */
#ifndef ENTRY_STEWARD_STATE_H
#define ENTRY_STEWARD_STATE_H

#include "entry/fetcher.h"
#include "entry/fleet.h"
#include "entry/inbox.h"
#include "entry/steward.h"
#include "plat/follow.h"

#include <pthread.h>
#include <stdatomic.h>

/* And the configuration alone, packed. */
#define CONFIG_NAME "config"
#define FROM_STORE  "the store"

struct steward {
	struct steward_opts o;
	pthread_t thread;
	bool started;
	atomic_bool stopping;
	struct http_loop *loop;
	struct kv *kv;
	struct follow *follow;
	struct inbox *inbox;
	struct rpc *rpc;
	struct fetcher *fetcher;
	struct fleet *fleet;
	struct roster roster;
	struct routes *routes;
	bool away;              /* the store does not answer this host */
	bool changed;           /* a newer view is due */
	struct buf config_next; /* is to be read; empty: none */
	const char *config_source;
	usec_t config_at;   /* when one was read */
	usec_t config_cost; /* what that took */
	uint64_t roster_seen;
	usec_t asked_at;
	uint32_t config_failures; /* fetches in a row */
	usec_t rumour_at;    /* when a newer version was heard of; 0: none */
	bool config_wanted;  /* a newer one is to be read at the store */
	bool config_reading; /* that is under way */
	char config_holder[MAX_ADDR_BYTES]; /* a host that has it */
	struct buf config_packed; /* under the lock; empty: to be made */
	bool behind;    /* a wait at the store will bring what is missing */
	usec_t fed_at;  /* when another host last told of the store */
	usec_t feed_at; /* when this one last told others */
	pthread_mutex_t lock; /* of the following */
	struct buf config_text;
	GHashTable *target_texts; /* key -> value as it stands in the store */
	struct steward_counts counts;
};

/* steward.c: follow_opts.handler, for what other hosts tell too. */
void steward_on_store(
    void *arg, enum follow_event ev, struct str key, struct str value);

/* steward_config.c: a text from the store, or from another host. */
void steward_store_config(struct steward *s, struct str text);
void steward_note_config(
    struct steward *s, struct str text, const char *source);
/* Reads the one that came last, gets what is missing; call both regularly. */
void steward_read_config(struct steward *s, usec_t now);
void steward_fetch_config(struct steward *s, usec_t now);
/* The answer to a fetch from another host, and to one of its fetches. */
void steward_packed_config(struct steward *s, bool found, struct str bytes);
void steward_give_config(struct steward *s, peer_result *r);

/* steward_feed.c: follow_opts.batch, to tell others of it. */
void steward_on_batch(void *arg, int64_t after, const struct kv_changes *c);
/* Says that nothing has changed. */
void steward_feed_tick(struct steward *s, usec_t now);
/* Whether another host tells this one of the store. */
bool steward_is_fed(struct steward *s, usec_t now);
void steward_take_feed(struct steward *s, const peer_letter *l, usec_t now);

#endif
