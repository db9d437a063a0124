/*
 * The membership table: all known sequoiads with their addresses and states.
 *
 * Invariant: an update of a member replaces the known state only if its
 * incarnation is higher, or the same with a state of higher rank (the order of
 * enum member_state).  So outdated state from a process that was paused never
 * replaces newer state.  A live member refutes a false state by a higher
 * incarnation.
 *
 * A look-up takes O(log n); an insertion or removal takes O(log n) and one
 * move of pointers.  A member takes at most MEMBER_BYTES.  An incarnation
 * number starts at the wall-clock time.  There is no lock: one thread uses a
 * table.
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
/* A gone member counts as known for as long as a partition may last. */
#define MEMBER_GONE_RETENTION (2 * 60 * 60 * USEC_PER_SEC)
#define MEMBER_LEFT_RETENTION (60 * USEC_PER_SEC)

enum member_state {
	MEMBER_LIVE,
	MEMBER_DRAINING,
	MEMBER_SUSPECT,
	MEMBER_GONE, /* suspicion was not refuted; dead or partitioned off */
	MEMBER_LEFT  /* announced its own departure */
};

/* An update about a member; rpc is empty if it carries no addresses. */
struct member_info {
	char id[MAX_NAME_BYTES + 1];
	char rpc[MAX_ADDR_BYTES];
	char operators[MAX_ADDR_BYTES];
	char domain[MAX_NAME_BYTES + 1];
	uint64_t incarnation;
	uint64_t generation; /* of its configuration in force */
	uint32_t capacity;   /* thousandths of a core; 0: not given */
	enum member_state state;
};

struct member {
	char *text;         /* id, rpc and operators, each NUL-terminated */
	GList *update_link; /* link in the queue of updates, or NULL */
	uint64_t incarnation;
	uint64_t generation;
	usec_t heard_at;         /* last message from the member itself */
	usec_t unanswered_since; /* first unanswered probe; 0: none */
	usec_t changed_at;       /* last change of state */
	uint16_t capacity;
	uint8_t rpc_at;       /* offset of rpc in text */
	uint8_t operators_at; /* offset of operators in text */
	uint8_t domain;       /* index in the table's domains */
	uint8_t bucket;       /* index of its digest */
	uint8_t state;        /* enum member_state */
	uint8_t sends_left;   /* messages that still have to carry its update */
	bool draining;
	bool full_update;     /* its update carries addresses: it is in joins */
	bool indirect_probed; /* indirect probes were sent */
	bool watched; /* in the list of unanswered and suspect members */
};

struct members {
	struct member **v; /* sorted by id; includes this process */
	size_t n;
	size_t n_left;
	size_t n_up;                      /* neither gone nor left */
	uint16_t digests[MEMBER_BUCKETS]; /* of the ids of up members */
	struct member *self;
	GHashTable *by_rpc;
	char *domains[MEMBER_DOMAINS];
	size_t n_domains;
	GQueue updates; /* struct member: state changes, newest first */
	GQueue joins;   /* struct member: new members and addresses */
	const char **live;
	size_t n_live;
	bool live_stale;
	uint64_t version;    /* grows when a live member changes or restarts */
	uint64_t generation; /* highest known configuration generation */
	char holder[MAX_ADDR_BYTES]; /* RPC address of a member that has it */
	bool superseded;             /* a newer process has this process's id */
	size_t sweep; /* index checked by the last member_sweep() */
};

/* Creates a table with this process; ignores self's state and generation. */
void member_init(struct members *t, const struct member_info *self, usec_t now);
void member_free(struct members *t);
struct member *member_find(const struct members *t, const char *id);
/* The member at an RPC address, or NULL. */
struct member *member_by_rpc(const struct members *t, const char *rpc);
void member_info(
    const struct members *t, const struct member *m, struct member_info *out);
const char *member_rpc(const struct member *m);
const char *member_operators(const struct member *m);

/* Applies an update of a member; false if it is not newer than the table. */
bool member_update(
    struct members *t, usec_t now, const struct member_info *info);
/*
 * Adds a member that is not known yet, from a list that may be old.  No update
 * is queued: the other members learn of it from the same list or from itself.
 * Returns false if the member is known.
 */
bool member_learn(
    struct members *t, usec_t now, const struct member_info *info);
/*
 * Sets that this process has another generation in force, drains or leaves.
 * No update is queued, because every message carries its sender's state.
 */
void member_set_generation(struct members *t, usec_t now, uint64_t generation);
void member_drain(struct members *t, usec_t now);
void member_leave(struct members *t, usec_t now);
/* Sets the state of an unresponsive member and queues the update. */
void member_mark_unresponsive(
    struct members *t, usec_t now, struct member *m, enum member_state state);
/* Removes at most one member past its retention; called once a round. */
void member_sweep(struct members *t, usec_t now);

/* The queue for the update of a member: updates or joins. */
GQueue *member_update_queue(struct members *t, const struct member *m);

/*
 * Ids of members that are up and not draining, sorted; valid until the table
 * changes.
 */
const char *const *member_live(struct members *t, size_t *n);
/* The number of members that have not left, including gone ones. */
uint32_t member_count_known(const struct members *t);
/* Records that a generation is in force at an RPC address, if it is newer. */
void member_note_generation(
    struct members *t, uint64_t generation, const char *rpc);
/*
 * The RPC address of a member with at least this generation, or NULL; random
 * spreads the requests of different processes over the members.
 */
const char *member_config_source(
    const struct members *t, uint64_t generation, uint64_t random);

#endif
