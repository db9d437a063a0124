#include "kernel/stream_reader.h"
#include "kernel/feeders.h"

/* Returns the first host that has not failed lately, else the earliest. */
static const char *
choose_ranked(const struct stream_reader_query *q, usec_t now)
{
	const char *ids[STREAM_READERS];
	size_t n =
	    stream_recorder_rank(q->hosts, q->n_hosts, ids, STREAM_READERS);
	const char *earliest = q->self;
	usec_t earliest_until = 0;

	for (size_t i = 0; i < n; i++) {
		usec_t until = stream_recorder_failed_until(q->failed, ids[i]);

		if (now >= until)
			return ids[i];
		if (earliest_until == 0 || until < earliest_until) {
			earliest = ids[i];
			earliest_until = until;
		}
	}
	return earliest;
}

const char *
stream_reader_choose(const struct stream_reader_query *q, usec_t now)
{
	bool is_small = q->listed && q->n_hosts < FEEDERS_MIN_FLEET;

	/* A host that drains and knows no other reads by itself. */
	if (q->n_hosts == 0)
		return q->self;
	if (q->confirmed && q->self_is_live &&
	    q->n_asked == (is_small ? 0 : STREAM_READERS))
		return q->self;
	if (is_small && q->n_asked == 0 && q->replier != NULL)
		return q->replier;
	return choose_ranked(q, now);
}

usec_t
stream_look_ask(struct stream_look *l, usec_t now)
{
	if (l->until == 0) {
		l->until = now + STREAM_LOOK_TIME;
		l->until_max = now + STREAM_LOOK_TIME_MAX;
	}
	l->n_asked++;
	return MIN(l->until - now, STREAM_READ_TIME);
}

usec_t
stream_look_reads(struct stream_look *l, usec_t now)
{
	usec_t until = MIN(now + STREAM_READ_TIME, l->until_max);

	l->until = MAX(l->until, until);
	return MAX(until - now, 0);
}

usec_t
stream_look_refused(const struct stream_look *l, usec_t now)
{
	usec_t left = l->until - now;

	if (left <= 0)
		return -1;
	if (l->n_asked <= STREAM_READERS ||
	    (l->n_asked - STREAM_READERS - 1) % STREAM_RECORDERS != 0)
		return 0;
	return left < STREAM_READ_PAUSE ? left : STREAM_READ_PAUSE;
}

bool
stream_look_over(const struct stream_look *l, usec_t now)
{
	return now >= l->until;
}
