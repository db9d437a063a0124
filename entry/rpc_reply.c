#include "entry/rpc_reply.h"
#include "entry/rpc.h"

#include <errno.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/socket.h>

#define LAST_FRAGMENT 0x80000000U
#define MAX_READ      ((size_t)16 * 1024)
/* Words of an accepted reply without a verifier, before its result. */
#define REPLY_WORDS   6
/* These and the length of the body that is sealed. */
#define HEAD_BYTES    ((size_t)4 * (REPLY_WORDS + 1))
#define MAC_BYTES     sizeof(((peer_sealed *)NULL)->mac)
/* How often a reply that waits for room looks for it. */
#define ROOM_WAIT     (10 * USEC_PER_MSEC)

struct reading {
	const struct rpc_reply_opts *o;
	usec_t end_at;
	struct buf *record;
	size_t left; /* of the fragment */
	bool last;   /* it is the last one */
	size_t need; /* size of the record; 0: not known yet */
};

static uint32_t
word_at(const char *p)
{
	const unsigned char *u = (const unsigned char *)p;

	return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 |
	    (uint32_t)u[2] << 8 | u[3];
}

/* Returns the number of bytes read, or 0 if none come in time. */
static size_t
read_some(struct reading *x, char *p, size_t n)
{
	struct pollfd fd = { .fd = x->o->fd, .events = POLLIN };
	usec_t wait = MIN(x->o->timeout, x->end_at - clock_now());
	ssize_t got;

	/* What has arrived is read also after a standstill of this process. */
	if (poll(&fd, 1, (int)(MAX(wait, 0) / USEC_PER_MSEC)) != 1)
		return 0;
	got = recv(x->o->fd, p, n, 0);
	return got > 0 ? (size_t)got : 0;
}

static bool
read_mark(struct reading *x)
{
	char mark[4];
	size_t n;

	for (size_t at = 0; at < sizeof(mark); at += n) {
		n = read_some(x, mark + at, sizeof(mark) - at);
		if (n == 0)
			return false;
	}
	x->last = (word_at(mark) & LAST_FRAGMENT) != 0;
	x->left = word_at(mark) & ~LAST_FRAGMENT;
	return x->left > 0;
}

static bool
wait_for_room(struct reading *x)
{
	usec_t until = clock_now() + x->o->timeout;

	while (!held_may_read(x->o->held, x->need)) {
		if (clock_now() >= until)
			return false;
		/* Nobody calls held_run for the thread that waits here. */
		held_complete(x->o->held);
		poll(NULL, 0, ROOM_WAIT / USEC_PER_MSEC);
	}
	return true;
}

/* Judges the head of the record, and learns the size of the whole. */
static bool
read_head(struct reading *x)
{
	const uint32_t head[REPLY_WORDS] = { x->o->xid, REPLY, MSG_ACCEPTED,
		AUTH_NONE, 0, SUCCESS };

	for (size_t i = 0; i < REPLY_WORDS; i++) {
		if (word_at(x->record->p + 4 * i) != head[i])
			return false;
	}
	x->need = HEAD_BYTES + MAC_BYTES +
	    RNDUP((size_t)word_at(x->record->p + HEAD_BYTES - 4));
	return true;
}

static enum rpc_reply_status
read_piece(struct reading *x)
{
	char piece[MAX_READ];
	size_t n;

	if (x->left == 0 && !read_mark(x))
		return RPC_REPLY_MISSING;
	if (!wait_for_room(x))
		return RPC_REPLY_NO_ROOM;
	n = read_some(x, piece, MIN(x->left, sizeof(piece)));
	if (n == 0)
		return RPC_REPLY_MISSING;
	x->left -= n;
	held_add(x->o->held, n);
	buf_put(x->record, (struct str){ piece, n });
	if (x->need == 0 && x->record->n >= HEAD_BYTES && !read_head(x))
		return RPC_REPLY_MISSING;
	return x->need > x->o->max_bytes ? RPC_REPLY_TOO_LARGE : RPC_REPLY_OK;
}

enum rpc_reply_status
rpc_reply_read(
    const struct rpc_reply_opts *o, struct buf *record, peer_sealed *out)
{
	struct reading x = { .o = o,
		.end_at = clock_now() + RPC_MAX_REPLY_TIME,
		.record = record };
	enum rpc_reply_status st = RPC_REPLY_OK;

	held_limit(o->held, MEMORY_SMALL);
	while (st == RPC_REPLY_OK && (x.left > 0 || !x.last) &&
	    (x.need == 0 || record->n < x.need))
		st = read_piece(&x);
	held_complete(o->held);
	if (st != RPC_REPLY_OK)
		return st;
	/* An empty last fragment may follow. */
	if (x.need == 0 || record->n != x.need || x.left > 0)
		return RPC_REPLY_MISSING;
	out->body.body_val = record->p + HEAD_BYTES;
	out->body.body_len = word_at(record->p + HEAD_BYTES - 4);
	memcpy(out->mac, record->p + x.need - MAC_BYTES, MAC_BYTES);
	return RPC_REPLY_OK;
}
