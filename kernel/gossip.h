/*
 * Gossip between sequoiads: which members to send to, the contents of the
 * messages, and failure detection.  Messages are one-way datagrams; a message
 * that requests an answer gets one.
 *
 * Each round (GOSSIP_INTERVAL) a process sends to GOSSIP_FANOUT members, one
 * in its own failure domain and one in another, and to a third while there are
 * updates to spread.  A message takes at most GOSSIP_BYTES: the newest updates
 * first, then a random member, so that the state of every member is sent from
 * time to time.
 * Only a sender whose digests show a different set of members up gets an
 * answer of up to GOSSIP_DIFF_BYTES, or GOSSIP_PAGE_BYTES if it sees far fewer
 * members.  So a process sends and receives at most 24 messages a second,
 * whatever the size of the fleet.
 *
 * A member that does not answer is probed again, also indirectly through other
 * members.  After GOSSIP_SUSPECT_AFTER it is suspect, and gone unless it
 * refutes within gossip_suspect_time().  A target seen leaving is gossiped for
 * LEAVING_TTL.  Times are from clock_now(), which counts suspends; after a
 * pause of this process no member is suspected for missing answers.  There is
 * no lock: one thread uses a struct gossip.
 */
#ifndef KERNEL_GOSSIP_H
#define KERNEL_GOSSIP_H

#include "base/rng.h"
#include "kernel/member.h"

#define GOSSIP_INTERVAL      (500 * USEC_PER_MSEC)
#define GOSSIP_FANOUT        2
#define GOSSIP_BYTES         320
#define GOSSIP_DIFF_BYTES    1000
#define GOSSIP_PAGE_BYTES    3000
#define GOSSIP_MAX_INFOS     32
#define GOSSIP_MAX_LEAVING   4
#define GOSSIP_SUSPECT_AFTER (3 * USEC_PER_SEC)
#define GOSSIP_MAX_SENDS     16 /* messages sent in one round */
#define GOSSIP_MAX_ANSWERS   3  /* messages sent on receipt of one */
#define LEAVING_TTL          (30 * USEC_PER_SEC)
#define LEAVING_MAX          128

/* A leaving target in a message. */
struct gossip_leaving {
	char service[MAX_NAME_BYTES + 1]; /* as the host list names it */
	char addr[MAX_ADDR_BYTES];
	uint32_t left_ms; /* remaining time to live */
};

struct gossip_message {
	struct member_info self;
	uint64_t generation;              /* highest known to the sender */
	char holder[MAX_ADDR_BYTES];      /* RPC address of a member with it */
	uint32_t up;                      /* members up in the sender's table */
	uint16_t digests[MEMBER_BUCKETS]; /* of the ids of up members */
	bool wants_answer;                /* an answer is requested */
	char check[MAX_NAME_BYTES + 1];   /* member to probe; or empty */
	char reached[MAX_NAME_BYTES + 1]; /* member that answered; or empty */
	struct member_info infos[GOSSIP_MAX_INFOS];
	size_t n_infos;
	struct gossip_leaving leaving[GOSSIP_MAX_LEAVING];
	size_t n_leaving;
};

/* A message to be sent to an RPC address. */
struct gossip_send {
	char rpc[MAX_ADDR_BYTES];
	struct gossip_message m;
};

/* A leaving target, kept until its time to live is over. */
struct leaving_target {
	char service[MAX_NAME_BYTES + 1];
	char addr[MAX_ADDR_BYTES];
	usec_t until;
	uint8_t sends_left;
};

#define GOSSIP_MAX_INDIRECT_PROBES 8

/* A probe of subject on behalf of requester, by their ids. */
struct gossip_indirect_probe {
	char requester[MAX_NAME_BYTES + 1];
	char subject[MAX_NAME_BYTES + 1];
	usec_t until;
};

struct gossip {
	struct members members;
	struct rng rng;
	GPtrArray *watched; /* struct member: unanswered or suspect */
	char **contacts;    /* RPC addresses from settings and host list */
	size_t n_contacts;
	struct leaving_target leaving[LEAVING_MAX];
	size_t n_leaving;
	uint64_t leaving_version; /* grows with each change of leaving */
	struct gossip_indirect_probe
	    indirect_probes[GOSSIP_MAX_INDIRECT_PROBES];
	usec_t round_at;
};

void gossip_init(struct gossip *g, const struct member_info *self,
    uint64_t seed, usec_t now);
void gossip_free(struct gossip *g);
/* Replaces the RPC addresses at which sequoiads may run. */
void gossip_set_contacts(struct gossip *g, const char *const *addrs, size_t n);
/* Records that a target is leaving. */
void gossip_leaving(
    struct gossip *g, usec_t now, const char *service, const char *addr);
/* Runs a round, every GOSSIP_INTERVAL; returns the number of messages. */
size_t gossip_round(
    struct gossip *g, usec_t now, struct gossip_send out[GOSSIP_MAX_SENDS]);
/* Processes a message; returns the number of messages to send at once. */
size_t gossip_receive(struct gossip *g, usec_t now,
    const struct gossip_message *m, struct gossip_send out[GOSSIP_MAX_ANSWERS]);
/* The size of a message in XDR, in bytes. */
size_t gossip_message_bytes(const struct gossip_message *m);
/* The time that a suspect has to refute, for a number of members. */
usec_t gossip_suspect_time(size_t n);

#endif
