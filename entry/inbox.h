/*
 * A thread's inbox: a FIFO queue of messages from other threads.  The control
 * thread, the discovery thread and the relay have one each.
 *
 * Load pattern: a thread stands still, or is busy, while other hosts go on
 * sending datagrams.  These are bounded; the rest is lost, as on the network.
 */
#ifndef ENTRY_INBOX_H
#define ENTRY_INBOX_H

#include "entry/peer.h"
#include "entry/view.h"
#include "kernel/event.h"
#include "plat/held.h"

enum inbox_msg_kind {
	INBOX_CLAIM,          /* ACTION_CLAIM, ACTION_REFUSE or ACTION_SETTLE */
	INBOX_DATAGRAM,       /* from another sequoiad */
	INBOX_FETCHED,        /* the result of a fetch from another sequoiad */
	INBOX_TARGET_LEAVING, /* a target reported that it is leaving */
	INBOX_DRAIN,          /* begin the drain */
	INBOX_VIEW            /* from the discovery thread to the relay */
};

struct inbox_fetched {
	char name[HASH_HEX_LEN + 1];
	bool replied; /* false: not in time */
	bool found;
	uint64_t revision;
	struct buf value;
	struct held held; /* counts it until the message is freed */
};

/* Bytes of the datagrams that wait in an inbox. */
#define INBOX_MAX_BYTES ((size_t)4 * 1024 * 1024)

struct inbox_msg {
	struct inbox_msg *next;
	size_t bytes; /* of a datagram, set by inbox_put */
	enum inbox_msg_kind kind;
	union {
		struct action action; /* INBOX_CLAIM; owned */
		peer_letter datagram; /* INBOX_DATAGRAM; owned */
		struct inbox_fetched fetched;
		struct action_leaving leaving;
		struct view *view; /* owned */
	};
};

struct inbox;

struct inbox *inbox_new(void);
struct inbox_msg *inbox_msg_new(enum inbox_msg_kind kind);
/*
 * Appends a message, from any thread; the inbox takes ownership.  A datagram is
 * dropped if there is no room for it: then this returns false.
 */
bool inbox_put(struct inbox *in, struct inbox_msg *m);
/* Removes the first message, which the caller then owns; NULL if empty. */
struct inbox_msg *inbox_take(struct inbox *in);
void inbox_msg_free(struct inbox_msg *m);
void inbox_free(struct inbox *in);

#endif
