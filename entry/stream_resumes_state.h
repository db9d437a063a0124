/*
 * Resumed streams: the state that stream_resumes.c, which looks for the
 * versions of streams, and stream_recordings.c, which has them recorded, share.
 */
#ifndef ENTRY_STREAM_RESUMES_STATE_H
#define ENTRY_STREAM_RESUMES_STATE_H

#include "entry/stream_resumes.h"
#include "base/hash.h"
#include "kernel/reply_wait.h"
#include "kernel/stream_reader.h"

struct stream_resumes {
	struct stream_resumes_opts o;
	GArray *peers;     /* struct view_peer */
	bool hosts_listed; /* as in the view */
	struct stream_versions streams;
	GHashTable *searches; /* number -> struct resume_search */
	uint64_t n_searches;
	GHashTable *recordings; /* number -> struct stream_recording */
	uint64_t n_recordings;
	struct stream_recorder recorder;
	struct stream_recorder reader; /* hosts that didn't read the store */
	usec_t late_until; /* records can't be relied on until then */
	usec_t expired_at;
	uint64_t restores; /* of the store, in the last view */
};

/*
 * Returns the id by which hosts know a stream: one that is too long for their
 * messages is replaced by its hash.
 */
struct str stream_resumes_id(struct str id, char hash[HASH_HEX_LEN + 1]);
/* Starts the timer of a wait for replies. */
void stream_resumes_wait(
    struct event *timer, struct reply_wait *w, usec_t time);
/* Lets a timer that runs go on if replies are still waited for. */
bool stream_resumes_waits_on(struct event *timer, struct reply_wait *w);
/* Handles a PEER_STREAM_RECORDED datagram. */
void stream_resumes_recorded(
    struct stream_resumes *x, const peer_stream_recorded *m);
void stream_resumes_free_recordings(struct stream_resumes *x);

#endif
