/*
 * Client of the platform's key-value service.  All calls are asynchronous on
 * an http_loop and belong to its thread.  The service has one of two interfaces
 * (enum kv_form): the JSON gateway of etcd's v3 API, or the interface of
 * platform/store.h, to which kv_get_item, kv_range, kv_poll, kv_put_item and
 * kv_delete_item belong.
 *
 * A write without a usable response ends in KV_UNKNOWN: it may or may not have
 * taken effect.  A reply, and a line of a watch, is bounded: one that goes on
 * is no usable response, and the watch is closed.
 */
#ifndef PLAT_KV_H
#define PLAT_KV_H

#include "base/clock.h"
#include "base/err.h"

struct host_memory;
struct http_loop;
struct kv;

enum kv_status {
	KV_OK,
	KV_CONFLICT,   /* the comparison failed: nothing was written */
	KV_REFUSED,    /* the service refused the call: nothing was written */
	KV_NO_HISTORY, /* kv_poll: the oldest changes are no longer retained */
	KV_UNKNOWN     /* no usable response */
};

/* Interface of the service. */
enum kv_form {
	KV_FORM_ETCD,
	KV_FORM_PLATFORM
};

struct kv_result {
	enum kv_status status;
	int64_t revision;     /* revision of the whole store */
	bool found;           /* get, KV_CONFLICT: the key exists */
	int64_t mod_revision; /* revision of the key's last change */
	int64_t lease; /* id of the lease granted, or of the key's lease */
	usec_t lease_ttl;
	struct str value;
};

struct kv_change {
	struct buf key;
	struct buf value;
	int64_t revision;
	bool deleted;
};

struct kv_changes {
	struct kv_change *v;
	size_t n;
	int64_t as_of; /* store revision of the response */
	uint64_t era;  /* of the store (platform/store.h); 0: not known */
	bool more;     /* kv_range: another page follows */
	/* kv_range: that of the last item, also of one that is left out. */
	struct buf last_key;
};

/* r is valid during the call. */
typedef void (*kv_result_handler)(void *arg, const struct kv_result *r);
/* c is NULL unless the status is KV_OK, and valid during the call. */
typedef void (*kv_changes_handler)(
    void *arg, enum kv_status st, const struct kv_changes *c);
struct kv_watch_event {
	bool closed;  /* the watch has ended; no other member is set */
	bool deleted; /* the key was deleted; otherwise it was written */
	struct str key;
	struct str value;
	int64_t mod_revision;
};
typedef void (*kv_watch_handler)(void *arg, const struct kv_watch_event *w);

struct kv_opts {
	struct http_loop *loop;
	const char *const *endpoints; /* IP:PORT, copied */
	size_t n_endpoints;
	usec_t timeout;         /* default for one call */
	const char *local_addr; /* source address, or NULL */
	enum kv_form form;
	struct host_memory *memory; /* counts replies; NULL: nothing does */
};

/* A compare-and-swap: writes the value if the key is at revision expect. */
struct kv_cas_opts {
	struct str key;
	int64_t expect; /* mod_revision; 0: the key must not exist */
	struct str value;
	int64_t lease; /* lease to attach to the key; 0: none */
};

struct kv *kv_new(const struct kv_opts *o);
/* In all calls, done may be NULL if its type is kv_result_handler. */
void kv_get(struct kv *kv, struct str key, kv_result_handler done, void *arg);
/*
 * Reads the revision of a key without its value; mod_revision is 0 if the key
 * does not exist.
 */
void kv_get_revision(
    struct kv *kv, struct str key, kv_result_handler done, void *arg);
/* Allows for an item of 1 MB on a link of 10 Mbit/s. */
#define KV_GET_ITEM_TIMEOUT (4 * USEC_PER_SEC)
/*
 * Reads the current state of one item as one change, with deleted set for a
 * tombstone.
 */
void kv_get_item(
    struct kv *kv, struct str key, kv_changes_handler done, void *arg);
struct kv_range_opts {
	struct str prefix;
	struct str after; /* the page begins after this key; empty: the first */
	usec_t timeout;   /* 0: the client's default */
};

/* Reads a page of the items under a prefix; returns the call's number. */
uint64_t kv_range(struct kv *kv, const struct kv_range_opts *o,
    kv_changes_handler done, void *arg);
/*
 * Returns when the last bytes of the response to a kv_range or kv_poll arrived;
 * before the first, when the call began.
 */
usec_t kv_arrived_at(const struct kv *kv, uint64_t call);
/* Ends such a call; its handler isn't called. */
void kv_cancel(struct kv *kv, uint64_t call);
/* Returns the default timeout of a call. */
usec_t kv_timeout(const struct kv *kv);
/* A slow but healthy service responds within 300 ms. */
#define KV_PROBE_TIMEOUT (500 * USEC_PER_MSEC)

struct kv_poll_opts {
	struct str prefix;
	int64_t after;  /* revision */
	usec_t wait;    /* 0: probes whether the service is available again */
	usec_t timeout; /* after wait */
};

/*
 * Long poll: reads the changes under a prefix after a revision as soon as there
 * are any, or an empty list after wait; returns the call's number.  A probe is
 * made on a new connection.  A response that arrives too slowly is for the
 * caller to judge, by kv_arrived_at.
 */
uint64_t kv_poll(struct kv *kv, const struct kv_poll_opts *o,
    kv_changes_handler done, void *arg);
/* Writes one item, as KV_FORM_PLATFORM. */
void kv_put_item(struct kv *kv, struct str key, struct str value,
    kv_result_handler done, void *arg);
/* Deletes one item, as KV_FORM_PLATFORM. */
void kv_delete_item(
    struct kv *kv, struct str key, kv_result_handler done, void *arg);
void kv_cas(struct kv *kv, const struct kv_cas_opts *c, kv_result_handler done,
    void *arg);
void kv_put(struct kv *kv, struct str key, struct str value, int64_t lease,
    kv_result_handler done, void *arg);
void kv_delete(
    struct kv *kv, struct str key, kv_result_handler done, void *arg);
void kv_lease_grant(
    struct kv *kv, usec_t ttl, kv_result_handler done, void *arg);
void kv_lease_keepalive(
    struct kv *kv, int64_t lease, kv_result_handler done, void *arg);
void kv_lease_revoke(
    struct kv *kv, int64_t lease, kv_result_handler done, void *arg);
/*
 * Watches one key, from a revision on, until kv_unwatch() or an event with
 * closed set.  Returns the watch's id.
 */
uint64_t kv_watch(struct kv *kv, struct str key, int64_t from,
    kv_watch_handler handler, void *arg);
void kv_unwatch(struct kv *kv, uint64_t watch);
/* Returns the number of kv_put_item and kv_delete_item calls in flight. */
size_t kv_writes(const struct kv *kv);
/* Returns the number of calls made since kv_new; each watch counts once. */
uint64_t kv_calls(const struct kv *kv);
/* Cancels all calls; their handlers are not called any more. */
void kv_free(struct kv *kv);

#endif
