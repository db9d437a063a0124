/*
 * Client of the platform's key-value service.  All calls are asynchronous on
 * an http_loop.  The service speaks one of two forms (enum kv_form): the JSON
 * form of etcd's v3 API, or that of platform/store.h, whose calls are kv_range
 * and kv_poll.
 *
 * A write whose answer is lost ends in KV_UNKNOWN: it may or may not have
 * taken effect.
 */
#ifndef PLAT_KV_H
#define PLAT_KV_H

#include "base/clock.h"
#include "base/err.h"

struct http_loop;
struct kv;

enum kv_status {
	KV_OK,
	KV_CONFLICT,   /* the comparison failed; nothing was written */
	KV_REFUSED,    /* the service said no, and nothing was written */
	KV_NO_HISTORY, /* of a wait: the changes since then are not kept */
	KV_UNKNOWN     /* no usable answer */
};

enum kv_form {
	KV_FORM_ETCD,
	KV_FORM_PLATFORM
};

struct kv_result {
	enum kv_status status;
	int64_t revision;     /* of the store */
	bool found;           /* of a get, or of the key behind a conflict */
	int64_t mod_revision; /* of the key */
	int64_t lease;        /* granted or of the key */
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
	int64_t as_of; /* the store's revision */
	bool more;     /* of a range: another page follows */
};

typedef void (*kv_result_handler)(void *arg, const struct kv_result *r);
/* c is NULL unless the status is KV_OK. */
typedef void (*kv_changes_handler)(
    void *arg, enum kv_status st, const struct kv_changes *c);
/* key: changed key; deleted: it is gone.  closed: the watch has ended. */
struct kv_watch_event {
	bool closed;
	bool deleted;
	struct str key;
	struct str value;
	int64_t mod_revision;
};
typedef void (*kv_watch_handler)(void *arg, const struct kv_watch_event *w);

struct kv_opts {
	struct http_loop *loop;
	const char *const *endpoints; /* IP:PORT, copied */
	size_t n_endpoints;
	usec_t timeout;         /* of one call */
	const char *local_addr; /* source address, or NULL */
	enum kv_form form;
};

struct kv_cas_opts {
	struct str key;
	int64_t expect; /* mod revision; 0: the key must not exist */
	struct str value;
	int64_t lease; /* 0: none */
};

struct kv *kv_new(const struct kv_opts *o);
/* done may be NULL in all calls that take one. */
void kv_get(struct kv *kv, struct str key, kv_result_handler done, void *arg);
/* As kv_get, without the value: mod_revision is 0 if there is no such key. */
void kv_get_revision(
    struct kv *kv, struct str key, kv_result_handler done, void *arg);
/* One item as it is now; nothing if there is none.  It may be large. */
#define KV_GET_ITEM_TIMEOUT                               \
	(4 * USEC_PER_SEC) /* 1 MB on a link of 10 Mbit/s \
			    */
void kv_get_item(
    struct kv *kv, struct str key, kv_changes_handler done, void *arg);
/* A page of the items under a prefix, behind a key. */
void kv_range(struct kv *kv, struct str prefix, struct str after,
    kv_changes_handler done, void *arg);
/*
 * The changes under a prefix after a revision, once there are some or the
 * wait is over.  Without a wait it asks on a connection of its own and has
 * KV_PROBE_TIMEOUT, to find out soon whether the service answers again.
 */
#define KV_PROBE_TIMEOUT (500 * USEC_PER_MSEC) /* a slow answer: 300 ms */
void kv_poll(struct kv *kv, struct str prefix, int64_t after, usec_t wait,
    kv_changes_handler done, void *arg);
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
/* Watches one key from a revision on; returns the watch's number. */
uint64_t kv_watch(struct kv *kv, struct str key, int64_t from,
    kv_watch_handler changed, void *arg);
void kv_unwatch(struct kv *kv, uint64_t watch);
/* Calls made since start, waiting watches counted once each. */
uint64_t kv_calls(const struct kv *kv);
void kv_free(struct kv *kv);

#endif
