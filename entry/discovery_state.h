/*
 * What the files of the steward share: steward.c has the thread, the store and
 * the targets, steward_config.c how a configuration comes and is passed on,
 * steward_feed.c what hosts tell each other of the store.
 */
#ifndef ENTRY_DISCOVERY_STATE_H
#define ENTRY_DISCOVERY_STATE_H

#include "entry/fetcher.h"
#include "entry/fleet.h"
#include "entry/inbox.h"
#include "entry/discovery.h"
#include "plat/watcher.h"

#include <pthread.h>
#include <stdatomic.h>

/* And the configuration alone, packed. */
#define CONFIG_NAME "config"
#define FROM_STORE  "the store"

struct discovery {
	struct discovery_opts o;
	pthread_t thread;
	bool started;
	atomic_bool stopping;
	struct http_loop *loop;
	struct kv *kv;
	struct watcher *watcher;
	struct inbox *inbox;
	struct rpc *rpc;
	struct fetcher *fetcher;
	struct fleet *fleet;
	struct roster roster;
	struct routes *routes;
	bool store_unavailable;   /* the store does not answer this host */
	bool view_dirty;          /* a newer view is due */
	struct buf queued_config; /* is to be read; empty: none */
	const char *queued_source;
	usec_t config_applied_at; /* when one was read */
	usec_t config_apply_time; /* what that took */
	uint64_t published_roster;
	usec_t peer_fetch_at;
	uint32_t config_fetch_failures; /* fetches in a row */
	usec_t newer_config_at; /* when a newer version was heard of; 0: none */
	bool config_fetch_due;  /* a newer one is to be read at the store */
	bool config_fetch_pending;          /* that is under way */
	char config_holder[MAX_ADDR_BYTES]; /* a host that has it */
	struct buf config_compressed; /* under the lock; empty: to be made */
	bool feed_gap; /* a wait at the store will bring what is missing */
	usec_t feed_received_at; /* when another host last told of the store */
	usec_t feed_sent_at;     /* when this one last told others */
	pthread_mutex_t lock;    /* of the following */
	struct buf config_text;
	GHashTable *target_values; /* key -> value as it stands in the store */
	struct discovery_counts counts;
};

/* steward.c: watcher_opts.handler, for what other hosts tell too. */
void discovery_on_store_event(
    void *arg, enum watcher_event ev, struct str key, struct str value);

/* steward_config.c: a text from the store, or from another host. */
void discovery_config_from_store(struct discovery *s, struct str text);
void discovery_queue_config(
    struct discovery *s, struct str text, const char *source);
/* Reads the one that came last, gets what is missing; call both regularly. */
void discovery_apply_config(struct discovery *s, usec_t now);
void discovery_fetch_config(struct discovery *s, usec_t now);
/* The answer to a fetch from another host, and to one of its fetches. */
void discovery_on_config(struct discovery *s, bool found, struct str bytes);
void discovery_serve_config(struct discovery *s, peer_result *r);

/* steward_feed.c: watcher_opts.batch, to tell others of it. */
void discovery_forward_batch(
    void *arg, int64_t after, const struct kv_changes *c);
/* Says that nothing has changed. */
void discovery_feed_heartbeat(struct discovery *s, usec_t now);
/* Whether another host tells this one of the store. */
bool discovery_has_feeder(struct discovery *s, usec_t now);
void discovery_on_feed(struct discovery *s, const peer_letter *l, usec_t now);

#endif
