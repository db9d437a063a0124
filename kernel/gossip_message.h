/*
 * The contents of gossip messages within their size limit; used by gossip.c
 * only.
 *
 * A message contains, in this order: the state of the receiver if it is suspect
 * or worse, so that it can refute; leaving targets; changes of state; new
 * members; and one random member.
 */
#ifndef KERNEL_GOSSIP_MESSAGE_H
#define KERNEL_GOSSIP_MESSAGE_H

#include "kernel/gossip.h"

/* Sets the fields that every message has. */
void gossip_message_begin(
    struct gossip *g, struct gossip_send *out, const char *rpc, bool answer);
/* Fills a message to a member; to is NULL if only its address is known. */
void gossip_message_fill(
    struct gossip *g, usec_t now, struct gossip_message *m, struct member *to);
/*
 * Builds the answer to a message; it is larger if the digests of the sender's
 * table differ, and largest if the sender sees far fewer members up.
 */
void gossip_message_answer(struct gossip *g, usec_t now,
    const struct gossip_message *received, struct member *to,
    struct gossip_send *out);
/* Drops leaving targets whose time to live is over. */
void gossip_expire_leaving(struct gossip *g, usec_t now);

#endif
