/*
 * Which host records the streams of all hosts in the store
 * (kernel/stream_records.h).
 *
 * Load pattern: the recorder is cut off from the store, or is killed, while
 * streams begin at all hosts.  Each would wait for it and go on unrecorded.  So
 * a host that did not record a stream is passed over for a while, and the next
 * one in the rendezvous order is asked.
 *
 * Times are in microseconds.  A struct stream_recorder belongs to one thread.
 */
#ifndef KERNEL_STREAM_RECORDER_H
#define KERNEL_STREAM_RECORDER_H

#include "base/clock.h"
#include "kernel/rendezvous.h"

#include <glib.h>

/* Hosts that are asked in turn to record a stream. */
#define STREAM_RECORDERS 4

struct stream_recorder {
	GHashTable *failed; /* id -> usec_t: the host isn't asked until then */
};

void stream_recorder_init(struct stream_recorder *r);
/* Writes the ids of at most max hosts, in the order in which they are asked. */
size_t stream_recorder_rank(
    const struct rendezvous_host *v, size_t n, const char **out, size_t max);
/*
 * Returns the id of the live host to ask; if the first STREAM_RECORDERS have
 * all failed lately, the first of them.  A host that drains isn't live itself:
 * self, its id, is returned if it knows no other.
 */
const char *stream_recorder_choose(const struct stream_recorder *r,
    const struct rendezvous_host *v, size_t n, const char *self, usec_t now);
/* The host has not recorded a stream. */
void stream_recorder_failed(
    struct stream_recorder *r, const char *id, usec_t now);
/* Returns until when the host is passed over; 0: it has not failed. */
usec_t stream_recorder_failed_until(
    const struct stream_recorder *r, const char *id);
/* The host has done what it was asked to. */
void stream_recorder_succeeded(struct stream_recorder *r, const char *id);
void stream_recorder_free(struct stream_recorder *r);

#endif
