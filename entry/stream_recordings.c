/* Has streams recorded in the store by the recorder of the fleet. */
#include "entry/stream_resumes_state.h"
#include "base/log.h"
#include "kernel/rendezvous.h"
#include "kernel/stream_hold.h"
#include "kernel/stream_records.h"

#include <stdlib.h>

/* Covers a write at a slow store. */
#define RECORD_TIMEOUT (300 * USEC_PER_MSEC)
/* How long recording counts as out of order after a record was late. */
#define LATE_TIME      (2 * USEC_PER_SEC)

struct stream_recording {
	struct stream_resumes *owner;
	uint64_t number;
	char *id;
	char service[64];
	char version[STREAM_VERSION_BYTES];
	char recorder[MAX_ADDR_BYTES]; /* that was asked last */
	uint32_t tries;
	struct stream_hold held;
	usec_t asked_at;           /* last */
	struct event *hold_timer;  /* until done is called */
	struct event *retry_timer; /* until another recorder is asked */
	struct reply_wait hold;    /* of hold_timer */
	struct reply_wait retry;   /* of retry_timer */
	void (*done)(void *arg, bool goes_on); /* NULL: nobody waits */
	void *arg;
};

/* Returns the address of the host that records streams. */
static const char *
choose_recorder(const struct stream_resumes *x, usec_t now)
{
	struct rendezvous_host *v = xcalloc(x->peers->len + 1, sizeof(*v));
	const char *recorder;

	for (guint i = 0; i < x->peers->len; i++) {
		const struct view_peer *p =
		    &g_array_index(x->peers, struct view_peer, i);

		v[i] = (struct rendezvous_host){ p->rpc, p->capacity };
	}
	recorder = stream_recorder_choose(
	    &x->recorder, v, x->peers->len, x->o.self_rpc, now);
	free(v);
	return recorder;
}

static void
free_recording(struct stream_recording *k)
{
	g_hash_table_remove(k->owner->recordings, &k->number);
	event_free(k->hold_timer);
	event_free(k->retry_timer);
	free(k->id);
	free(k);
}

/* Ends the wait for the record. */
static void
end_hold(struct stream_recording *k, bool goes_on)
{
	void (*done)(void *, bool) = k->done;

	k->done = NULL;
	evtimer_del(k->hold_timer);
	if (done != NULL)
		done(k->arg, goes_on);
}

/* Whether the stream may go on without a record. */
static bool
may_release(const struct stream_versions *s, const struct stream_recording *k)
{
	return !stream_versions_base_serves(s, k->service) &&
	    stream_gaps_allow(s->gaps, k->service,
		stream_versions_base(s, k->service),
		clock_wall() / USEC_PER_SEC);
}

/* Ends the wait for a late record if it has lasted long enough. */
static void
judge_hold(struct stream_recording *k)
{
	enum stream_hold_action a;

	if (k->done == NULL)
		return;
	a = stream_hold_decide(
	    &k->held, may_release(&k->owner->streams, k), clock_now());
	switch (a) {
	case STREAM_HOLD:
		break;
	case STREAM_RELEASE:
		end_hold(k, true);
		break;
	case STREAM_DROP:
		log_text(LOG_LVL_NOTICE, "stream-dropped",
		    "stream %s of %s, version %s: its record is late", k->id,
		    k->service, k->version);
		k->owner->late_until = clock_now() + LATE_TIME;
		end_hold(k, false);
		break;
	}
}

static void
ask_recorder(struct stream_recording *k, const char *recorder)
{
	peer_body body = { .kind = PEER_STREAM_RECORD };
	peer_stream_record *m = &body.peer_body_u.stream_record;

	k->tries++;
	k->asked_at = clock_now();
	g_strlcpy(k->recorder, recorder, sizeof(k->recorder));
	m->ask = k->number;
	m->id = k->id;
	m->service = k->service;
	m->software = k->version;
	rpc_send(discovery_rpc(k->owner->o.discovery), recorder, &body);
	stream_resumes_wait(k->retry_timer, &k->retry, RECORD_TIMEOUT);
}

/* Whether nobody waits for the record or needs it any more. */
static bool
is_obsolete(const struct stream_recording *k, usec_t now)
{
	return k->done == NULL &&
	    (now - k->held.begun_at > STREAM_RECORD_SLOTS * USEC_PER_SEC ||
		stream_versions_find(&k->owner->streams, str_from(k->id)) ==
		    NULL);
}

/* Asks the next host to record the stream, or ends the recording. */
static void
ask_next_recorder(struct stream_recording *k)
{
	usec_t now = clock_now();
	const char *recorder = choose_recorder(k->owner, now);

	if (k->tries == STREAM_RECORDERS)
		log_text(LOG_LVL_NOTICE, "stream-unrecorded",
		    "stream %s of %s, version %s: %u hosts asked", k->id,
		    k->service, k->version, k->tries);
	if (!is_obsolete(k, now)) {
		ask_recorder(k, recorder);
		return;
	}
	end_hold(k, true);
	free_recording(k);
}

/*
 * The record is late.  Without it, the stream would be taken for one of the
 * base version after the loss of all hosts, if that has enough targets.
 */
static void
on_hold_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct stream_recording *k = arg;

	(void)fd;
	(void)what;
	if (stream_resumes_waits_on(k->hold_timer, &k->hold))
		return;
	k->owner->late_until = clock_now() + LATE_TIME;
	judge_hold(k);
	if (k->done != NULL)
		stream_resumes_wait(
		    k->hold_timer, &k->hold, STREAM_RECORD_WAIT);
}

const char *
stream_resumes_first_version(struct stream_resumes *x, const char *service)
{
	return clock_now() < x->late_until &&
		stream_versions_base_serves(&x->streams, service)
	    ? stream_versions_base(&x->streams, service)
	    : NULL;
}

static void
on_record_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct stream_recording *k = arg;

	(void)fd;
	(void)what;
	if (stream_resumes_waits_on(k->retry_timer, &k->retry))
		return;
	stream_recorder_failed(&k->owner->recorder, k->recorder, clock_now());
	k->owner->late_until = clock_now() + LATE_TIME;
	k->held.n_failed++;
	judge_hold(k);
	ask_next_recorder(k);
}

struct stream_recording *
stream_resumes_record(
    struct stream_resumes *x, const struct stream_recording_opts *o)
{
	const struct stream_version *stream = o->stream;
	char hash[HASH_HEX_LEN + 1];
	usec_t now = clock_now();
	const char *recorder = choose_recorder(x, now);
	struct stream_recording *k;

	if (!stream_versions_records(
		&x->streams, stream->service, stream->version, now))
		return NULL;
	k = xcalloc(1, sizeof(*k));
	k->owner = x;
	k->held = (struct stream_hold){ now, o->deadline, 0 };
	k->number = ++x->n_recordings;
	k->id = str_dup(stream_resumes_id(str_from(stream->id), hash));
	g_strlcpy(k->service, stream->service, sizeof(k->service));
	g_strlcpy(k->version, stream->version, sizeof(k->version));
	k->done = o->done;
	k->arg = o->arg;
	k->hold_timer = evtimer_new(x->o.base, on_hold_timeout, k);
	k->retry_timer = evtimer_new(x->o.base, on_record_timeout, k);
	g_hash_table_insert(x->recordings, &k->number, k);
	if (k->done != NULL)
		stream_resumes_wait(
		    k->hold_timer, &k->hold, STREAM_RECORD_WAIT);
	ask_recorder(k, recorder);
	return k;
}

void
stream_resumes_leave_recording(struct stream_recording *k)
{
	k->done = NULL;
	evtimer_del(k->hold_timer);
}

void
stream_resumes_recorded(struct stream_resumes *x, const peer_stream_recorded *m)
{
	for (u_int i = 0; i < m->asks.asks_len; i++) {
		uint64_t number = m->asks.asks_val[i];
		struct stream_recording *k =
		    g_hash_table_lookup(x->recordings, &number);

		if (k == NULL)
			continue;
		if (m->refused) {
			stream_recorder_failed(
			    &x->recorder, k->recorder, clock_now());
			k->held.n_failed++;
			judge_hold(k);
			/* Else the timer is waited for. */
			if (k->tries < STREAM_RECORDERS)
				ask_next_recorder(k);
		} else {
			if (clock_now() - k->asked_at <= STREAM_RECORD_WAIT)
				x->late_until = 0;
			end_hold(k, true);
			free_recording(k);
		}
	}
}

void
stream_resumes_free_recordings(struct stream_resumes *x)
{
	GHashTableIter it;
	gpointer k;

	while (g_hash_table_size(x->recordings) > 0) {
		g_hash_table_iter_init(&it, x->recordings);
		g_hash_table_iter_next(&it, NULL, &k);
		free_recording(k);
	}
}
