/*
 * Gossip between sequoiads: whom to write to, what to say, and whom to hold
 * for silent.  Messages go one way; one that wants an answer gets one.
 *
 * Each round (GOSSIP_INTERVAL) a process writes to GOSSIP_FANOUT members, one
 * of its own failure domain and one of another, and to a third while there is
 * news.  A message takes at most GOSSIP_BYTES: the newest news first, then a
 * random member, so that everything comes round.  Only one that sees others
 * up, by the digests of its table, is answered with GOSSIP_DIFF_BYTES, and
 * one that knows far fewer with GOSSIP_PAGE_BYTES.  So a process
 * sends and receives at most 24 messages a second, at any size of the fleet.
 *
 * A member that does not answer is written to again and others are asked to
 * reach it; after GOSSIP_SUSPECT_AFTER it is suspect, and gone unless it
 * refutes in gossip_suspect_time.  A target seen leaving is told for
 * LEAVING_TTL. Times are of the clock that counts suspends: after a pause of
 * this process nobody is blamed for the silence.
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
#define GOSSIP_MAX_SENDS     16 /* most messages of one round */
#define GOSSIP_MAX_ANSWERS   3  /* most messages that one causes */
#define LEAVING_TTL          (30 * USEC_PER_SEC)
#define LEAVING_MAX          128

struct gossip_leaving {
	char service[MAX_NAME_BYTES + 1]; /* as the host list names it */
	char addr[MAX_ADDR_BYTES];
	uint32_t left_ms; /* how long it is still told */
};

struct gossip_message {
	struct member_info self;
	uint64_t generation;              /* the highest heard of */
	char holder[MAX_ADDR_BYTES];      /* RPC address of one that has it */
	uint32_t up;                      /* members that are up, as it sees */
	uint16_t digests[MEMBER_BUCKETS]; /* of their ids */
	bool answer;                      /* an answer is wanted */
	char check[MAX_NAME_BYTES + 1];   /* please reach this one; or empty */
	char reached[MAX_NAME_BYTES + 1]; /* this one was reached; or empty */
	struct member_info infos[GOSSIP_MAX_INFOS];
	size_t n_infos;
	struct gossip_leaving leaving[GOSSIP_MAX_LEAVING];
	size_t n_leaving;
};

struct gossip_send {
	char rpc[MAX_ADDR_BYTES];
	struct gossip_message m;
};

/* A target that is leaving, as long as it is told. */
struct leaving_target {
	char service[MAX_NAME_BYTES + 1];
	char addr[MAX_ADDR_BYTES];
	usec_t until;
	uint8_t sends_left;
};

#define GOSSIP_MAX_INDIRECT_PROBES 8

/* Who asked for a member to be reached. */
struct gossip_indirect_probe {
	struct member *asker;
	struct member *subject;
	usec_t until;
};

struct gossip {
	struct members members;
	struct rng rng;
	GPtrArray *watched; /* struct member: asked or suspect */
	char **contacts;    /* RPC addresses of settings and host list */
	size_t n_contacts;
	struct leaving_target leaving[LEAVING_MAX];
	size_t n_leaving;
	uint64_t leaving_version; /* grows with each change */
	struct gossip_indirect_probe
	    indirect_probes[GOSSIP_MAX_INDIRECT_PROBES];
	usec_t round_at;
};

void gossip_init(struct gossip *g, const struct member_info *self,
    uint64_t seed, usec_t now);
void gossip_free(struct gossip *g);
/* Addresses where a sequoiad may be; they replace those given before. */
void gossip_set_contacts(struct gossip *g, const char *const *addrs, size_t n);
/* A target was seen leaving. */
void gossip_leaving(
    struct gossip *g, usec_t now, const char *service, const char *addr);
/* One round; call it every GOSSIP_INTERVAL.  Returns how many to send. */
size_t gossip_round(
    struct gossip *g, usec_t now, struct gossip_send out[GOSSIP_MAX_SENDS]);
/* A message came; returns how many are to be sent at once. */
size_t gossip_receive(struct gossip *g, usec_t now,
    const struct gossip_message *m, struct gossip_send out[GOSSIP_MAX_ANSWERS]);
/* The size of a message in XDR form. */
size_t gossip_message_bytes(const struct gossip_message *m);
/* How long a suspect has to refute, by the number of members. */
usec_t gossip_suspect_time(size_t n);

#endif
