/*
 * Division of a workspace's limits among the live sequoiads.
 *
 * Half of a limit is divided evenly among all known sequoiads (the floor).
 * The other half, the pool, is granted on demand by the workspace's owner,
 * the first live sequoiad in rendezvous order; a grant expires unless it is
 * renewed.  Only workspaces whose demand exceeds the floor are reported, each
 * owner spreads its reports to SHARES_REPORTS_PER_SEC, and a report or reply
 * names at most SHARES_MAX_CLAIMS workspaces, so the cost doesn't grow with
 * the fleet.
 * Rejected: even shares alone (they don't follow demand), shares agreed
 * through the key-value service (a write per change), one owner for all
 * workspaces (its reports grow with the fleet).
 *
 * Bound: the shares of all processes add up to at most the whole limit, if
 *  (a) a change of liveness or reachability shows within SHARES_DETECT_TIME
 *      in every membership view that it concerns, and
 *  (b) all processes count the same known sequoiads: the live ones and those
 *      gone for less time than a network partition may last.
 * A process that others don't count yet adds its floor, half the limit
 * divided by the known sequoiads; the sum may exceed the limit by that, once
 * for each that joined within the last seconds.  While (a) does not hold, a
 * second owner may grant the pool again: at most half the limit for each.
 *
 * Proof.  By (b) the floors add up to half.  Pool: a holder has one grant; it
 * ends ttl after the report was sent, on the holder's clock, and a reply is
 * accepted only for the newest report.  The owner reserves the grant from a
 * later time for ttl + SHARES_DETECT_TIME, and grants no more than is not
 * reserved; so one owner never exceeds its part, pool * live / known.  Owners
 * on different sides of a network partition have parts that add up to the
 * pool.  An owner's part falls at once and rises only after shares_hold = ttl
 * + SHARES_DETECT_TIME; for that long a new owner only renews what its
 * holders still have.  By (a), the former owner has by then seen the change,
 * and its grants above its part have ended.
 *
 * While the owner is unreachable, a process keeps its last share until its
 * grant expires, and then has the floor.
 *
 * Shares are in millionths (ppm) of a limit, times in microseconds unless a
 * name says ms.  A struct shares has no locks: one thread owns it.
 */
#ifndef KERNEL_SHARES_H
#define KERNEL_SHARES_H

#include "base/clock.h"
#include "base/str.h"
#include "kernel/bounds.h"

#define SHARES_PPM             1000000U /* the limit itself, in millionths */
#define SHARES_FLOOR           500000U  /* divided evenly */
#define SHARES_POOL            (SHARES_PPM - SHARES_FLOOR)
#define SHARES_MAX_CLAIMS      16
#define SHARES_REPORTS_PER_SEC 20 /* per owner */
#define SHARES_DETECT_TIME     (10 * USEC_PER_SEC)
/* Replies that come later than this after their report are dropped. */
#define SHARES_REPLY_MAX       (2 * USEC_PER_SEC)
#define SHARES_TTL_MIN         (10 * USEC_PER_SEC)
#define SHARES_WANT_MAX        (4 * SHARES_PPM)

struct shares_claim {
	char workspace[MAX_NAME_BYTES + 1];
	uint32_t need;    /* ppm above the floor */
	uint32_t holding; /* ppm that the sender may still use */
};

/* Report of a holder to the owner of all workspaces in it. */
struct shares_report {
	char from[MAX_NAME_BYTES + 1];
	uint64_t number; /* increases, also over restarts of the sender */
	struct shares_claim v[SHARES_MAX_CLAIMS];
	size_t n;
};

struct shares_grant {
	char workspace[MAX_NAME_BYTES + 1];
	uint32_t ppm;
};

struct shares_reply {
	uint64_t number; /* number of the report */
	uint32_t ttl_ms;
	uint32_t next_ms; /* earliest next report */
	struct shares_grant v[SHARES_MAX_CLAIMS];
	size_t n;
};

/* A holder as its owner sees it. */
struct shares_holder {
	uint64_t id; /* hash of its name */
	uint64_t number;
	uint32_t need;
	uint32_t reserved;
	usec_t until;
};

struct shares_workspace {
	char name[MAX_NAME_BYTES + 1];
	char owner[MAX_NAME_BYTES + 1];
	usec_t owned_since; /* valid if this process is the owner */
	struct shares_holder *holders;
	size_t n_holders;
	uint32_t wanted;
	uint32_t holding;
	usec_t expires;         /* end of the grant in holding */
	uint32_t reported_need; /* need in the last report */
	uint64_t number;
	usec_t sent_at;
	usec_t next_at;
	usec_t renew_at;
};

/* A sequoiad that was live lately: it may have owned workspaces. */
struct shares_departed {
	char id[MAX_NAME_BYTES + 1];
	usec_t at;
};

struct shares {
	char self[MAX_NAME_BYTES + 1];
	uint64_t number;
	char (*live)[MAX_NAME_BYTES + 1]; /* sorted */
	uint32_t n_live;
	struct shares_departed *departed; /* within the last shares_hold() */
	size_t n_departed;
	uint32_t known;
	uint32_t part; /* live sequoiads that the owner's part is based on */
	uint32_t part_next;
	usec_t part_at; /* rise of part to part_next; 0: none is pending */
	usec_t since;   /* start, or the end of the last pause */
	/* Latest event; a gap means that this process was paused. */
	usec_t seen_at;
	struct shares_workspace *v; /* sorted by name */
	size_t n;
};

/* The incarnation must be higher after each restart. */
void shares_init(
    struct shares *s, usec_t now, const char *self, uint64_t incarnation);
/* Lifetime of a grant, and the time for which a new owner only renews. */
usec_t shares_ttl(uint32_t known);
usec_t shares_hold(uint32_t known);
/*
 * Sets the live sequoiads, by sorted id.  The count known includes those that
 * may be on the other side of a network partition.
 */
void shares_set_live(struct shares *s, usec_t now, const char *const *ids,
    size_t n, uint32_t known);
/*
 * Sets the share of the limit (ppm) that this process would use now; may exceed
 * the whole.
 */
void shares_set_wanted(
    struct shares *s, usec_t now, struct str workspace, uint32_t ppm);
/* Fills in the next report that is due and its owner; false if none is due. */
bool shares_due(struct shares *s, usec_t now, struct shares_report *r,
    char owner[MAX_NAME_BYTES + 1]);
/* Processes a report.  Workspaces of other owners are left out of the reply. */
void shares_receive(struct shares *s, usec_t now, const struct shares_report *r,
    struct shares_reply *out);
/* Processes the owner's reply.  Replies to older reports are ignored. */
void shares_reply(struct shares *s, usec_t now, const struct shares_reply *r);
/* Share in force now (ppm, at least 1). */
uint32_t shares_ppm(const struct shares *s, usec_t now, struct str workspace);
void shares_free(struct shares *s);

#endif
