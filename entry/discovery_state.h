/*
 * State shared by the discovery files: discovery.c runs the thread and handles
 * store events and targets, discovery_config.c receives, applies and serves
 * configurations, discovery_feed.c forwards store changes between hosts,
 * discovery_peers.c takes the state of another host while the store is away,
 * discovery_quarantine.c finds and shares the quarantined parts of prompts,
 * discovery_streams.c records the versions of streams in the store,
 * discovery_evacuations.c learns which failure domains are evacuated.
 *
 * All functions run on the discovery thread, except discovery_serve_config and
 * discovery_serve_state, which run on the RPC thread.
 */
#ifndef ENTRY_DISCOVERY_STATE_H
#define ENTRY_DISCOVERY_STATE_H

#include "entry/fetcher.h"
#include "entry/fleet.h"
#include "entry/inbox.h"
#include "entry/discovery.h"
#include "kernel/config_fetch.h"
#include "kernel/config_queue.h"
#include "kernel/crash_suspects.h"
#include "kernel/evacuations.h"
#include "kernel/host_list.h"
#include "kernel/quarantine.h"
#include "kernel/state_source.h"
#include "kernel/stream_records.h"
#include "plat/held.h"
#include "plat/watcher.h"

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>

/* The document name under which peers fetch the configuration alone. */
#define CONFIG_NAME "config"
/* The document name under which peers fetch configuration and targets. */
#define STATE_NAME  "state"
#define FROM_STORE  "the store"

struct stream_store;

/* Look-ups of streams that wait for the next reading of the store. */
#define DISCOVERY_MAX_LOOKS 4096

struct discovery {
	struct discovery_opts o;
	pthread_t thread;
	bool started;
	atomic_bool stopping;
	atomic_bool finishing; /* nothing more is reported to it */
	atomic_bool finished;  /* the store has what the fleet needs */
	struct http_loop *loop;
	struct kv *kv;
	struct watcher *watcher;
	struct inbox *inbox;
	struct rpc *rpc;
	struct fetcher *fetcher;
	struct fleet *fleet;
	struct roster roster;
	struct routes *routes;
	bool store_unavailable; /* the store does not answer this host */
	bool view_dirty;        /* a new view must be published */
	bool hosts_dirty;       /* only the hosts have changed */
	usec_t view_published_at;
	struct buf config_in_force; /* empty: none */
	struct config_queue queued_configs;
	usec_t config_applied_at;
	usec_t config_apply_time;  /* duration of the last application */
	uint64_t published_roster; /* roster version of the last view */
	usec_t peer_fetch_at;
	struct state_source state_source;
	/* Of the last state taken from another host. */
	struct store_position peer_position;
	/* When gossip reported a newer version; 0: none. */
	usec_t newer_config_at;
	struct config_fetch config_fetch;
	/* Guarded by lock; empty: not compressed yet. */
	struct buf config_compressed;
	struct host_list_writer hosts;
	bool hosts_listed;
	struct evacuations evacuations;
	uint64_t published_evacuations; /* their version in the last view */
	bool applying_feed;             /* changes come from another host */
	struct quarantine quarantine;
	GHashTable *suspects;  /* service -> struct crash_suspects */
	bool crashes_reported; /* since the parts to blame were looked for */
	bool suspects_waiting; /* for replies of the hosts */
	struct stream_store *streams;
	bool feed_gap; /* changes are missing that only a long poll returns */
	usec_t feed_received_at;
	usec_t confirmed_at; /* no change of the store was missing then */
	_Atomic usec_t published_confirmed_at;
	_Atomic usec_t published_arrived_at;
	usec_t feed_sent_at;
	bool listing;           /* a listing of the store is being read */
	bool restored;          /* the store, since its last complete listing */
	uint64_t restores;      /* of the store that this host has seen */
	uint64_t view_restores; /* that are listed, in the last view */
	usec_t announce_until;  /* tells receivers of the last one until then */
	usec_t announced_at;
	/* Incarnation of a feeder -> the last restore that it announced. */
	GHashTable *announced;
	pthread_mutex_t lock; /* guards the members below */
	struct buf config_text;
	GHashTable *evacuated_since;   /* domain -> Unix time in ms, as text */
	GHashTable *target_values;     /* key -> value as stored */
	GHashTable *quarantine_values; /* id -> value */
	struct discovery_counts counts;
};

/*
 * The callback watcher_opts.handler (discovery.c).  Also called for changes
 * that another host forwards.
 */
void discovery_on_store_event(
    void *arg, enum watcher_event ev, struct str key, struct str value);

/*
 * Queues a configuration read from the store and serves it to peers at once
 * (discovery_config.c).
 */
void discovery_config_from_store(struct discovery *d, struct str text);
/*
 * Queues a configuration; false if a newer one is queued.  The source appears
 * in the log.
 */
bool discovery_queue_config(
    struct discovery *d, struct str text, const char *source);
/*
 * Applies the newest queued configuration that can be used, when one is due;
 * call it regularly.
 */
void discovery_apply_config(struct discovery *d, usec_t now);
/* Starts a fetch of a newer configuration when due; call it regularly. */
void discovery_fetch_config(struct discovery *d, usec_t now);
/* Handles the result of a configuration fetch from a peer. */
void discovery_on_config(struct discovery *d, bool found, struct str bytes);
/* Answers a peer's configuration fetch. */
void discovery_serve_config(struct discovery *d, peer_result *r);

/* Adds or updates a target from its entry in the store. */
void discovery_put_target(
    struct discovery *d, struct str key, struct str value);
/*
 * Serves configuration, targets and quarantined parts to a peer that cannot
 * reach the store (discovery_peers.c).
 */
void discovery_serve_state(struct discovery *d, peer_result *r);
/* Applies a peer's state, which replaces a full listing of the store. */
void discovery_take_state(struct discovery *d, struct str bytes);
/*
 * Reads a compressed document of another host, which may have max_bytes, and no
 * more than this host holds for such; false if it is malformed or larger.  What
 * it holds counts until held_end, to be called in either case.
 */
bool discovery_read_document(struct discovery *d, struct str bytes,
    size_t max_bytes, struct held *held, struct buf *text);
/* Fetches a peer's state when due; call it regularly. */
void discovery_fetch_state(struct discovery *d, usec_t now);

/* Fills a feed with the changes after a revision; it borrows their strings. */
void discovery_write_feed(peer_feed *f, peer_feed_item items[PEER_FEED_ITEMS],
    int64_t after, const struct kv_changes *c);
/*
 * The callback watcher_opts.batch: forwards the changes to receivers
 * (discovery_feed.c).
 */
void discovery_forward_batch(
    void *arg, int64_t after, const struct kv_changes *c);
/* The store was restored from an older copy, and is listed: tells receivers. */
void discovery_announce_restore(struct discovery *d, usec_t now);
/* Sends an empty feed datagram when FEED_INTERVAL has passed. */
void discovery_feed_heartbeat(struct discovery *d, usec_t now);
/*
 * The list of the fleet's hosts in the store (discovery_hosts.c): a host that
 * starts learns all others from its first listing.
 */
#define HOSTS_KEY "sequoia/hosts"
void discovery_read_hosts(struct discovery *d, struct str text);
/* Writes the list when it has changed; call it regularly. */
void discovery_write_hosts(struct discovery *d, usec_t now);

/*
 * The evacuations of failure domains (discovery_evacuations.c): handles an item
 * of the store that is written or deleted; returns false for other keys.
 */
bool discovery_evacuation_item(
    struct discovery *d, struct str key, bool deleted);
/* A complete listing of the store has been read. */
void discovery_evacuations_listed(struct discovery *d);
/* Logs what has ended; call it before a view is published. */
void discovery_update_evacuations(struct discovery *d, usec_t now);
/*
 * Takes another host's evacuations: a JSON object of domain -> Unix time in
 * milliseconds, as text; NULL: it sent none, as it is of an older version.
 */
void discovery_take_evacuations(
    struct discovery *d, const json_t *domains, const struct store_position *p);

/*
 * The quarantined parts of prompts (discovery_quarantine.c): handles an item of
 * the store that is written or deleted; other keys are ignored.
 */
void discovery_quarantine_item(
    struct discovery *d, struct str key, struct str value, bool deleted);
/* Takes a quarantine from the store or from another host. */
void discovery_read_quarantine(
    struct discovery *d, struct str id, struct str value, bool from_store);
/* Returns a table of service -> struct crash_suspects. */
GHashTable *discovery_new_suspects(void);
/*
 * Handles PEER_CRASH, PEER_ANSWERED, PEER_QUARANTINE, PEER_SUSPECTS and
 * PEER_KNOWN; may take over what the datagram owns and zero it.
 */
void discovery_on_quarantine(struct discovery *d, peer_letter *l);
/*
 * Quarantines the parts that reported crashes are to be blamed on; call it
 * after datagrams were handled.
 */
void discovery_blame_parts(struct discovery *d);
/*
 * Sends quarantines to the other hosts and the store, and ends them, when due;
 * call it regularly.
 */
void discovery_send_quarantine(struct discovery *d, usec_t now);
/* Whether this host is to send a quarantine that it has not sent. */
bool discovery_quarantine_unsent(struct discovery *d);

/* Versions of streams in the store (discovery_streams.c). */
struct stream_store *discovery_new_streams(void);
void discovery_free_streams(struct stream_store *s);
/* Sets the base versions and the gaps of the view. */
void discovery_copy_streams(const struct discovery *d, struct view *v);
/*
 * Handles PEER_STREAM_RECORD and PEER_STREAM_LOOK; returns false for other
 * datagrams.
 */
bool discovery_on_streams(struct discovery *d, const peer_letter *l);
/* Handles an item of the store that is written; returns false for others. */
bool discovery_stream_item(
    struct discovery *d, struct str key, struct str value);
/* Whether a key of the store is that of recorded streams, but not of gaps. */
bool discovery_is_stream_record(struct str key);
/* The store has been listed completely. */
void discovery_streams_listed(struct discovery *d);
/* Writes records when due; call it after datagrams and regularly. */
void discovery_record_streams(struct discovery *d, usec_t now);
/* Returns when the next record is due; 0: none waits. */
usec_t discovery_record_due(const struct discovery *d);
/* Looks the streams up that are asked for; call it after datagrams. */
void discovery_look_up_streams(struct discovery *d);
/* Keeps the base versions up to date; call it regularly. */
void discovery_update_bases(struct discovery *d, usec_t now);

/* Whether this host relies on feeders instead of polling the store. */
bool discovery_has_feeder(struct discovery *d, usec_t now);
/* Whether this host is the first of the feeders, or of a small fleet. */
bool discovery_is_first_feeder(struct discovery *d);
/* Applies a PEER_FEED datagram. */
void discovery_on_feed(struct discovery *d, const peer_letter *l, usec_t now);

#endif
