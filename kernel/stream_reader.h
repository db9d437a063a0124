/*
 * Which host looks a resumed stream up in the store, for a host that doesn't
 * know its version (kernel/stream_records.h).
 *
 * Load pattern: all hosts of a large fleet have started at once, and callers
 * resume their streams at each of them.  Did each read the records by itself,
 * they would fill the store's link; and most don't have the store yet.  So in a
 * large fleet one host reads for all, the recorder, which reads once for all
 * streams that are asked for meanwhile.  One that doesn't read is passed over
 * for a while, and the next in the same order is asked: the first hosts may
 * still list the store while many others have done so.  A host doesn't read by
 * itself before all of these were asked: all would as soon as the store is
 * slow.  A host that has not read the list of the fleet's hosts knows few of
 * them at first, so it doesn't take its fleet for a small one.
 *
 * Readings take long while all hosts list the store.  A reader tells the hosts
 * that wait as long as items arrive: did they ask others instead, the link
 * would be fuller still.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_STREAM_READER_H
#define KERNEL_STREAM_READER_H

#include "kernel/stream_recorder.h"

/* Hosts that are asked in turn in a large fleet. */
#define STREAM_READERS       16
/* How long a stream is looked up. */
#define STREAM_LOOK_TIME     (2100 * USEC_PER_MSEC)
/* The same if a host reads that long. */
#define STREAM_LOOK_TIME_MAX (2 * STREAM_LOOK_TIME)
/* A host that doesn't read the records for so long is passed over. */
#define STREAM_READ_TIME     (700 * USEC_PER_MSEC)
/* Once all have refused, this pause comes after each STREAM_RECORDERS. */
#define STREAM_READ_PAUSE    (100 * USEC_PER_MSEC)

struct stream_reader_query {
	const struct stream_recorder *failed; /* hosts that didn't read */
	const struct rendezvous_host *hosts;  /* the live ones, by address */
	size_t n_hosts;
	bool listed;         /* this host has read the list of the fleet's */
	const char *self;    /* address of this host */
	bool self_is_live;   /* one of them; a host that drains isn't */
	bool confirmed;      /* the store answers this host */
	const char *replier; /* a host that has replied; or NULL */
	uint32_t n_asked;    /* hosts that have been asked */
};

/* Returns the address of the host to ask next. */
const char *stream_reader_choose(
    const struct stream_reader_query *q, usec_t now);

struct stream_look {
	usec_t until; /* 0: not begun */
	usec_t until_max;
	uint32_t n_asked;
};

/* Another host is asked: returns how long its reply is waited for. */
usec_t stream_look_ask(struct stream_look *l, usec_t now);
/*
 * The host that was asked is reading: returns how long its reply is waited for
 * from now on.
 */
usec_t stream_look_reads(struct stream_look *l, usec_t now);
/*
 * The host that was asked has refused: returns the time until the next is
 * asked, -1 if the look-up is over.
 */
usec_t stream_look_refused(const struct stream_look *l, usec_t now);
/* Whether no other host is asked after the wait. */
bool stream_look_over(const struct stream_look *l, usec_t now);

#endif
