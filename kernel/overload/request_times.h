/*
 * How long requests take, by kind: the longest of the last measured ones.
 *
 * Load pattern: a host that stops, or that is short of time for another reason,
 * gets requests of very different lengths on the same routes.  A mean would let
 * every second long one run beyond the end; the longest of all would keep the
 * short ones out.  So requests are told apart by their route and, in powers of
 * two, by the lengths that they name.
 *
 * Times are in microseconds.  The table belongs to one thread.  It holds up to
 * 1,024 kinds of 0.6 KB each, besides the names of their routes, and is emptied
 * for one more.
 */
#ifndef KERNEL_OVERLOAD_REQUEST_TIMES_H
#define KERNEL_OVERLOAD_REQUEST_TIMES_H

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct request_times {
	GHashTable *by_route; /* name -> GPtrArray of kinds */
	uint32_t n_kinds;     /* measured ones, of all routes; bounded */
	usec_t running_at;    /* when the running requests were noted */
};

struct request_kind {
	const char *route;
	uint32_t output_tokens; /* limit on the length of its output; 0: none */
	uint32_t pieces;        /* of all its stages */
};

struct request_time {
	usec_t whole; /* from its arrival to its end */
	usec_t call;  /* from its first call, after its stages, to its end */
};

void request_times_init(struct request_times *t);
/* A request has ended with its answer. */
void request_times_record(struct request_times *t, const struct request_kind *k,
    const struct request_time *taken);
/*
 * A request was ended before its answer, and would have taken longer: doesn't
 * count if longer ones are known, nor before one of its kind, or of a larger
 * one, has ended with its answer.
 */
void request_times_record_least(struct request_times *t,
    const struct request_kind *k, const struct request_time *least);
/*
 * Requests that still run count with their times so far.  Returns whether all
 * of them are to be noted now, as the last notes are old; these are forgotten.
 */
bool request_times_renew_running(struct request_times *t, usec_t now);
void request_times_note_running(struct request_times *t,
    const struct request_kind *k, const struct request_time *so_far);
/*
 * Returns the times that few requests of the kind exceed: the longest of the
 * last ones and of those that still run, with a reserve.  For a kind that was
 * not measured they are those of a larger one; 0 if there is none.
 */
struct request_time request_times_expected(
    const struct request_times *t, const struct request_kind *k);
void request_times_free(struct request_times *t);

#endif
