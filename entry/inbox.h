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

enum mail_kind {
	MAIL_CLAIM,   /* CLAIM, REFUSE or SETTLE of the kernel's */
	MAIL_LETTER,  /* from another sequoiad */
	MAIL_FETCHED, /* a document came from another sequoiad, or did not */
	MAIL_LEFT,    /* a target said that it is leaving */
	MAIL_DRAIN,   /* nothing new will be taken */
	MAIL_VIEW     /* of the steward, to the relay */
};

struct mail_fetched {
	char name[HASH_HEX_LEN + 1];
	bool found;
	uint64_t revision;
	struct buf value;
};

struct mail {
	struct mail *next;
	enum mail_kind kind;
	union {
		struct action action; /* MAIL_CLAIM; owned */
		peer_letter letter;   /* MAIL_LETTER; owned */
		struct mail_fetched fetched;
		struct action_left left;
		struct view *view; /* owned */
	};
};

struct inbox;

struct inbox *inbox_new(void);
struct mail *mail_new(enum mail_kind kind);
/* From any thread; the inbox owns the mail. */
void inbox_put(struct inbox *in, struct mail *m);
/* The next mail, which the caller owns, or NULL. */
struct mail *inbox_take(struct inbox *in);
void mail_free(struct mail *m);
void inbox_free(struct inbox *in);

#endif
