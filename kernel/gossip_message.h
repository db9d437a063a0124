/*
 * What a message of gossip says, within its bytes; used by gossip.c only.
 *
 * In this order: the state of the one written to if that is bad, so that it
 * can refute; targets that are leaving; changes of state; new members; and one
 * member in turn.
 */
#ifndef KERNEL_GOSSIP_MESSAGE_H
#define KERNEL_GOSSIP_MESSAGE_H

#include "kernel/gossip.h"

/* Starts a message with what every message says. */
void gossip_message_begin(
    struct gossip *g, struct gossip_send *out, const char *rpc, bool answer);
/* Fills a message; to is NULL for an address of which no more is known. */
void gossip_message_fill(
    struct gossip *g, usec_t now, struct gossip_message *m, struct member *to);
/* Answers a message: more to one that knows fewer or others. */
void gossip_message_answer(struct gossip *g, usec_t now,
    const struct gossip_message *asked, struct member *to,
    struct gossip_send *out);
/* Drops leaving targets whose time is over. */
void gossip_expire_leaving(struct gossip *g, usec_t now);

#endif
