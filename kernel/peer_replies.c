#include "kernel/peer_replies.h"

#include <stdint.h>

size_t
peer_replies_room(size_t unsent)
{
	return unsent < PEER_REPLIES_UNSENT ? SIZE_MAX : PEER_REPLY_SMALL;
}

bool
peer_replier_is_over(const struct peer_replier *p, size_t n_turns, usec_t now)
{
	usec_t silence = n_turns > 0 ? PEER_REPLY_PAUSE : PEER_REPLY_SILENCE;

	switch (p->wait) {
	case PEER_WAIT_QUERY:
		return now - p->since >= PEER_QUERY_TIME;
	case PEER_WAIT_TURN:
		return now - p->since >= PEER_REPLY_SILENCE;
	case PEER_WAIT_TAKEN:
		return now - p->moved_at >= silence ||
		    now - p->since >= PEER_REPLY_TIME;
	}
	return true;
}
