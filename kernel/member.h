/*
 * The table of sequoiads: who they are and what state they are in.
 *
 * Invariant: news of a member replaces what is known only if its incarnation
 * is higher, or the same with a state of higher rank (the order of enum
 * member_state).  So what a paused process still believes never replaces
 * newer news.  A member that is alive refutes by a higher incarnation.
 *
 * Look-ups take O(log n), a change O(log n) and one move of pointers; a member
 * takes at most MEMBER_BYTES.  Incarnations start at the wall clock.
 */
#ifndef KERNEL_MEMBER_H
#define KERNEL_MEMBER_H

#include "base/clock.h"
#include "base/str.h"
#include "kernel/bounds.h"

#include <glib.h>

#define MEMBER_BYTES          200
#define MEMBER_DOMAINS        255
#define MEMBER_BUCKETS        16
/* A gone one still counts as known while a split may last. */
#define MEMBER_GONE_RETENTION (2 * 60 * 60 * USEC_PER_SEC)
#define MEMBER_LEFT_RETENTION (60 * USEC_PER_SEC)

enum member_state {
	MEMBER_LIVE,
	MEMBER_DRAINING,
	MEMBER_SUSPECT,
	MEMBER_GONE, /* its silence was confirmed; it may be split off */
	MEMBER_LEFT  /* it said so itself */
};

/* What is told of a member; rpc is empty in a brief form. */
struct member_info {
	char id[MAX_NAME_BYTES + 1];
	char rpc[MAX_ADDR_BYTES];
	char operators[MAX_ADDR_BYTES];
	char domain[MAX_NAME_BYTES + 1];
	uint64_t incarnation;
	uint64_t generation; /* of the configuration that it has in force */
	uint32_t capacity;   /* thousandths of a core; 0: not told */
	enum member_state state;
};

struct member {
	char *text;         /* id, rpc and operators, each with its NUL */
	GList *update_link; /* its place in the queue of news */
	uint64_t incarnation;
	uint64_t generation;
	usec_t heard_at;         /* last message of its own */
	usec_t unanswered_since; /* first message without an answer; 0: none */
	usec_t changed_at;       /* last change of state */
	uint16_t capacity;
	uint8_t rpc_at;
	uint8_t operators_at;
	uint8_t domain;
	uint8_t bucket;
	uint8_t state;      /* enum member_state */
	uint8_t sends_left; /* times that its news is still to be sent */
	bool draining;
	bool full_update;     /* its news carries addresses: it is in joins */
	bool indirect_probed; /* others were asked to reach it */
	bool watched; /* in the list of those that are asked or suspect */
};

struct members {
	struct member **v; /* sorted by id; this process is one of them */
	size_t n;
	size_t n_left;
	size_t n_up;                      /* not gone or left */
	uint16_t digests[MEMBER_BUCKETS]; /* of the ids of those that are up */
	struct member *self;
	GHashTable *by_rpc;
	char *domains[MEMBER_DOMAINS];
	size_t n_domains;
	GQueue updates; /* struct member: changes of state, newest first */
	GQueue joins;   /* the same: new members and addresses */
	const char **live;
	size_t n_live;
	bool live_stale;
	uint64_t version;            /* grows when the live ones change */
	uint64_t generation;         /* the highest heard of */
	char holder[MAX_ADDR_BYTES]; /* RPC address of one that has it */
	bool superseded;             /* a newer process has this one's id */
	size_t sweep;
};

/* self: state and generation are ignored. */
void member_init(struct members *t, const struct member_info *self, usec_t now);
void member_free(struct members *t);
struct member *member_find(const struct members *t, const char *id);
/* The member at an RPC address, or NULL. */
struct member *member_by_rpc(const struct members *t, const char *rpc);
void member_info(
    const struct members *t, const struct member *m, struct member_info *out);
const char *member_rpc(const struct member *m);

/* Takes news of a member; false if it is not newer than what is known. */
bool member_update(
    struct members *t, usec_t now, const struct member_info *info);
/*
 * This process has another generation in force, drains, or leaves.  Every
 * message names its sender's state, so this needs no news.
 */
void member_set_generation(struct members *t, usec_t now, uint64_t generation);
void member_drain(struct members *t, usec_t now);
void member_leave(struct members *t, usec_t now);
/* Marks silence; the news spreads. */
void member_mark_silent(
    struct members *t, usec_t now, struct member *m, enum member_state state);
/* Forgets one member whose time is over, if any; call it once a round. */
void member_sweep(struct members *t, usec_t now);

/* The queue that the news of a member is in. */
GQueue *member_update_queue(struct members *t, const struct member *m);

/* Ids of live members that do not drain, sorted; valid until a change. */
const char *const *member_live(struct members *t, size_t *n);
/* How many there are, with those gone that may be split off. */
uint32_t member_count_known(const struct members *t);
/* Another generation is in force at this RPC address. */
void member_note_generation(
    struct members *t, uint64_t generation, const char *rpc);
/* RPC address of some member with at least this generation, or NULL. */
const char *member_config_source(
    const struct members *t, uint64_t generation, uint64_t random);

#endif
