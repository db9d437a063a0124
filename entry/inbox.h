/*
 * A thread's inbox: messages that other threads leave for it, taken in the
 * order in which they came.  The control thread, the steward and the relay
 * have one each.
 */
#ifndef ENTRY_INBOX_H
#define ENTRY_INBOX_H

#include "entry/peer.h"
#include "entry/view.h"
#include "kernel/event.h"

enum inbox_msg_kind {
	INBOX_CLAIM,    /* CLAIM, REFUSE or SETTLE of the kernel's */
	INBOX_DATAGRAM, /* from another sequoiad */
	INBOX_FETCHED,  /* a document came from another sequoiad, or did not */
	INBOX_TARGET_LEAVING, /* a target said that it is leaving */
	INBOX_DRAIN,          /* nothing new will be taken */
	INBOX_VIEW            /* of the steward, to the relay */
};

struct inbox_fetched {
	char name[HASH_HEX_LEN + 1];
	bool found;
	uint64_t revision;
	struct buf value;
};

struct inbox_msg {
	struct inbox_msg *next;
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
/* From any thread; the inbox owns the mail. */
void inbox_put(struct inbox *in, struct inbox_msg *m);
/* The next mail, which the caller owns, or NULL. */
struct inbox_msg *inbox_take(struct inbox *in);
void inbox_msg_free(struct inbox_msg *m);
void inbox_free(struct inbox *in);

#endif
