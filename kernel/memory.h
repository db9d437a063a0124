/*
 * The bound on the bytes that a host holds for requests, answers, callers that
 * read slowly, other hosts, the store and probes: which connections read on,
 * which requests are taken, and whose answer is broken off.
 *
 * Load pattern: many targets send bytes without end, or many callers send large
 * bodies or take their answers slowly, all at once.  Each is within its own
 * limit, all together exceed the memory of the host, which is killed with the
 * requests of all its callers.
 *
 * The bound is divided into pools, so that requests that wait for answers never
 * take the room that the answers need.  In each pool:
 *
 * - a holder reads once there is room for its whole item, which is then
 *   reserved: each that reads can end.  The length is as declared, or else
 *   MEMORY_ITEM;
 * - for the first MEMORY_SMALL bytes of an item of unknown length, it reserves
 *   MEMORY_LITTLE at a time; up to MEMORY_MEDIUM, if no whole item has room, it
 *   has some from a part of the pool; one that is read slowly has MEMORY_MEDIUM
 *   before a whole item, which it would hold for long; what all such items have
 *   leaves room for a whole one;
 * - items up to MEMORY_MEDIUM don't wait for larger ones, which leave an eighth
 *   of the pool to them; and they leave a part to those up to MEMORY_LITTLE;
 * - who holds a reservation and reads almost nothing loses it to others that
 *   may be faster, if what such holders keep leaves room for a whole item;
 * - smaller items pass one of medium size that waits for a short time only;
 * - a small call of another host, which has admitted its request, has room
 *   beside a full pool, up to a part of it;
 * - a target may cut off an answer that isn't read for seconds, so that of a
 *   slow receiver is read on while there is room: each may have as much unsent
 *   as all of them leave of a part of the pool.
 *
 * Holders that may not read wait in line.  Sizes are in bytes, times in
 * microseconds.
 */
#ifndef KERNEL_MEMORY_H
#define KERNEL_MEMORY_H

#include "base/clock.h"
#include "kernel/bounds.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MEMORY_LITTLE       ((size_t)8 * 1024)
#define MEMORY_SMALL        ((size_t)64 * 1024)
#define MEMORY_MEDIUM       ((size_t)512 * 1024)
/* Reserved for an item of unknown length. */
#define MEMORY_ITEM         ((size_t)MAX_ANSWER_BYTES + MEMORY_SMALL)
/* Lowest bound: an item fits into each pool but that of the store. */
#define MEMORY_MIN          ((size_t)26 * 1024 * 1024)
/* The most unsent to one receiver; with more, the rest of its answer waits. */
#define MEMORY_BACKLOG      ((size_t)2 * 1024 * 1024)
/* An answer unread for so long may be cut off by a target that is sound. */
#define MEMORY_UNREAD_TIME  (1 * USEC_PER_SEC)
/* Lowest memory of a host, which MEMORY_MIN leaves more than half of. */
#define MEMORY_HOST_MIN_MB  64
/* How long a request whose body waits for room is kept. */
#define MEMORY_REQUEST_WAIT (500 * USEC_PER_MSEC)

enum memory_use {
	MEMORY_REQUEST, /* requests of callers, until they are answered */
	MEMORY_PEER,    /* the same of other hosts and operators */
	MEMORY_ANSWER,  /* answers of targets */
	MEMORY_UNSENT,  /* answers that their receivers have not taken yet */
	MEMORY_STORE,   /* replies of the store, documents of other hosts */
	MEMORY_PROBE,   /* reports of targets, answers to orders */
	MEMORY_USES
};

enum memory_pool {
	MEMORY_REQUESTS, /* requests and calls of other hosts */
	MEMORY_ANSWERS,  /* answers and what is unsent of them */
	MEMORY_CONTROL,  /* store and probes */
	MEMORY_POOLS
};

/* What of an item of unknown length has room. */
enum memory_part {
	MEMORY_WHOLE, /* all; or the length is known, or the item complete */
	MEMORY_FIRST, /* MEMORY_SMALL or less */
	MEMORY_MORE,  /* up to MEMORY_MEDIUM */
	MEMORY_PARTS
};

/* What one connection or call holds. */
struct memory_holder {
	enum memory_use use;
	size_t held;
	size_t reserved; /* size of the item that has room; 0: none */
	size_t need;     /* size of the item, as far as it is known */
	size_t most;     /* size of the largest item of unknown length */
	bool declared;   /* it is */
	bool whole;      /* room for all of the item is needed */
	enum memory_part part;
	bool waiting;       /* in a line */
	GQueue *line;       /* in which one */
	usec_t waits_since; /* valid while waiting */
	usec_t waited;      /* for room for the item, before that */
	/* Bytes read, or taken by the receiver, since then. */
	size_t moved;
	usec_t moved_since;
	bool slow; /* its receiver took almost nothing before that */
	bool hung; /* and so little that it may have stalled */
	/* Bytes read of the item, and in which time, without waits. */
	size_t read;
	usec_t read_time;
	usec_t reads_since; /* beside read_time; 0: doesn't read */
	void *owner;        /* for the caller of these functions */
	GList line_link;    /* in its line */
	GList listed_link;  /* among those with a reservation, or unsent */
	bool listed;
};

struct memory_share {
	size_t size;
	size_t committed; /* sum of what is held, or reserved if that is more */
	size_t parts[MEMORY_PARTS]; /* of it, that such items have */
	GQueue little; /* struct memory_holder that wait, oldest first */
	GQueue medium;
	GQueue large;
	GQueue reserved; /* struct memory_holder */
};

struct memory {
	size_t limit;
	struct memory_share pools[MEMORY_POOLS];
	size_t held[MEMORY_USES];
	size_t total;
	size_t peak;    /* of total, since the last trim */
	size_t highest; /* of total */
	usec_t trimmed_at;
	GQueue unsent;    /* struct memory_holder with unsent bytes */
	usec_t looked_at; /* by memory_slowest */
	uint64_t waits;   /* how often a holder had to wait */
	uint64_t refused;
	uint64_t cut;    /* answers broken off */
	usec_t short_at; /* when there was too little room, the last time */
	bool is_short;
};

/* limit is at least MEMORY_MIN. */
void memory_init(struct memory *m, size_t limit);
/* Part of the memory of a host that may be held, at least MEMORY_MIN. */
size_t memory_limit_of(size_t host_bytes);

/* Part of the bound that ended requests may take, which can be queried. */
size_t memory_keep_of(size_t limit);

enum memory_pool memory_pool_of(enum memory_use use);
/* Name of a use, for operators. */
const char *memory_use_name(enum memory_use use);

/* An item of unknown length has MEMORY_ITEM at most, unless most is set. */
void memory_join(struct memory *m, struct memory_holder *h, enum memory_use use,
    void *owner);
/* Forgets a holder and what it holds. */
void memory_leave(struct memory *m, struct memory_holder *h);
void memory_hold(
    struct memory *m, struct memory_holder *h, size_t n, usec_t now);
void memory_release(struct memory *m, struct memory_holder *h, size_t n);

/*
 * Whether the holder of a part of an item may read on; need is the size of the
 * whole item, or 0 if it isn't known.  If not it waits in line until
 * memory_next returns it, or it leaves.
 */
bool memory_may_read(
    struct memory *m, struct memory_holder *h, size_t need, usec_t now);
/* How long the holder has waited for room for its item, in all. */
usec_t memory_waited(const struct memory_holder *h, usec_t now);
/* Bytes of a reservation that are not held yet. */
size_t memory_room(const struct memory_holder *h);
/*
 * The item is complete: what is reserved beyond it is free again, and its
 * holder doesn't wait.
 */
void memory_complete(struct memory *m, struct memory_holder *h);
/* Returns a holder that waits in a pool and may read on; NULL: none. */
struct memory_holder *memory_next(
    struct memory *m, enum memory_pool pool, usec_t now);
/* Whether holders wait in a pool. */
bool memory_has_waiting(const struct memory *m, enum memory_pool pool);
/* The largest item that ever fits into the pool of a use. */
size_t memory_largest(const struct memory *m, enum memory_use use);
/* Whether an item of n bytes ever does. */
bool memory_fits(const struct memory *m, enum memory_use use, size_t n);
/*
 * Whether an item of unknown length, of which n bytes are held, ever has room
 * for more.
 */
bool memory_can_grow(const struct memory *m, enum memory_use use, size_t n);
/*
 * Whether a request is refused: its pool is full, or it has waited for long and
 * has no room now.  Counts those that are.
 */
bool memory_refuses(struct memory *m, struct memory_holder *h, usec_t now);
/*
 * As memory_refuses, of a complete request with body_bytes.  Those of operators
 * and probes, which have no body, are taken by a full pool, too.
 */
bool memory_refuses_complete(
    struct memory *m, struct memory_holder *h, size_t body_bytes, usec_t now);
/* Retry-After of a refused request. */
usec_t memory_retry_after(uint64_t salt);

/*
 * Whether more of an answer is read whose receiver has not taken what h holds;
 * paused: reading has stopped, and goes on a step below the bound.
 */
bool memory_reads_on(
    const struct memory *m, const struct memory_holder *h, bool paused);
/*
 * Returns the holder of an answer that is to be broken off, as others wait for
 * room and its receiver takes almost nothing; NULL: none.  Receivers that have
 * stalled go before those that take a little, and larger answers before smaller
 * ones.  To be called often while holders wait.
 */
struct memory_holder *memory_slowest(struct memory *m, usec_t now);

/* Whether free memory is to be returned to the system now. */
bool memory_trim_due(struct memory *m, usec_t now);

enum memory_change {
	MEMORY_SAME,
	MEMORY_SHORT,
	MEMORY_ENOUGH
};
/* Whether the room has become short, or enough again; call it regularly. */
enum memory_change memory_change(struct memory *m, usec_t now);

#endif
