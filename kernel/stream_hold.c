#include "kernel/stream_hold.h"
#include "kernel/stream_recorder.h"

enum stream_hold_action
stream_hold_decide(const struct stream_hold *h, bool may_release, usec_t now)
{
	if (may_release)
		return STREAM_RELEASE;
	/* The other half is left for the caller's next attempt. */
	if (h->n_failed >= STREAM_RECORDERS ||
	    now - h->begun_at >= (h->deadline - h->begun_at) / 2)
		return STREAM_DROP;
	return STREAM_HOLD;
}
