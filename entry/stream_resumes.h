/*
 * Resumed streams: notes the versions of the targets that begin streams, tells
 * and hears them from other hosts, has them recorded in the store, and finds
 * the version at which a caller's stream may go on (kernel/stream_versions.h,
 * kernel/stream_records.h).
 *
 * Runs on the relay's thread.
 */
#ifndef ENTRY_STREAM_RESUMES_H
#define ENTRY_STREAM_RESUMES_H

#include "entry/discovery.h"
#include "entry/view.h"
#include "kernel/stream_versions.h"

#include <event2/event.h>

struct stream_resumes;

struct stream_resumes_opts {
	struct event_base *base;
	struct discovery *discovery;
	const char *self;     /* id of this host */
	const char *self_rpc; /* its address */
};

struct stream_resumes *stream_resumes_new(const struct stream_resumes_opts *o);
/* Sets the live hosts and the targets. */
void stream_resumes_set_view(struct stream_resumes *x, const struct view *v);
/* Whether the service has had targets of several versions lately. */
bool stream_resumes_mixed(const struct stream_resumes *x, const char *service);
/*
 * A stream has its first event; id is that of the attempt that began it.  Call
 * it before the caller gets the event.
 */
void stream_resumes_begin(struct stream_resumes *x, struct str id,
    const char *service, const char *version);
struct stream_recording;

/*
 * Returns the version at which a stream that may be resumed has to begin now,
 * or NULL if it may be any.
 */
const char *stream_resumes_first_version(
    struct stream_resumes *x, const char *service);
struct stream_recording_opts {
	const struct stream_version *stream;
	usec_t deadline; /* of its request */
	/*
	 * Called once when the stream is recorded or may go on without it
	 * (kernel/stream_hold.h), else with goes_on false: its events must not
	 * reach the caller.  Never called from within stream_resumes_record().
	 * NULL: nobody waits.
	 */
	void (*done)(void *arg, bool goes_on);
	void *arg;
};

/*
 * Has a stream recorded in the store if that is needed; returns NULL if it
 * isn't.  A host that doesn't record it in time, as it is cut off from the
 * store, say, is replaced by the next.
 */
struct stream_recording *stream_resumes_record(
    struct stream_resumes *x, const struct stream_recording_opts *o);
/* done is not called any more; the recording goes on. */
void stream_resumes_leave_recording(struct stream_recording *k);
/* A stream is complete. */
void stream_resumes_end(struct stream_resumes *x, struct str id);

/* Searches that wait for other hosts or the store. */
#define STREAM_MAX_SEARCHES 4096

struct resume_search;

struct resume_search_opts {
	struct str id; /* of the attempt that began the stream; may be empty */
	const char *service;
	/*
	 * Called once unless the search is cancelled, maybe before
	 * stream_resumes_find() returns; version is set with RESUME_AT_VERSION.
	 */
	void (*done)(void *arg, enum resume_place place, const char *version);
	void *arg;
};

/*
 * Returns NULL if done has been called, as it is with RESUME_NOWHERE when
 * STREAM_MAX_SEARCHES others wait.
 */
struct resume_search *stream_resumes_find(
    struct stream_resumes *x, const struct resume_search_opts *o);
void stream_resumes_cancel(struct resume_search *s);
/* Handles a PEER_STREAM* datagram. */
void stream_resumes_receive(struct stream_resumes *x, const peer_letter *l);
void stream_resumes_tick(struct stream_resumes *x, usec_t now);
/* Searches must have ended, and nobody may wait for a recording. */
void stream_resumes_free(struct stream_resumes *x);

#endif
