#include "kernel/state_source.h"

#include <glib.h>
#include <string.h>

#define MAX_LATE 2 /* replies in a row */

const char *
state_source_choose(const struct state_source *s, const char *any)
{
	if (s->known[0] != '\0' && (s->known_next || any == NULL))
		return s->known;
	return any;
}

void
state_source_asked(struct state_source *s, const char *addr)
{
	char copy[MAX_ADDR_BYTES];

	g_strlcpy(copy, addr, sizeof(copy));
	memcpy(s->asked, copy, sizeof(copy));
	s->known_next = strcmp(s->asked, s->known) != 0;
}

void
state_source_replied(struct state_source *s, enum state_reply reply)
{
	bool is_known = strcmp(s->asked, s->known) == 0;

	switch (reply) {
	case STATE_FOUND:
		memcpy(s->known, s->asked, sizeof(s->known));
		s->n_late = 0;
		break;
	case STATE_NONE:
		if (is_known)
			s->known[0] = '\0';
		break;
	case STATE_LATE:
		if (is_known && ++s->n_late >= MAX_LATE)
			s->known[0] = '\0';
		break;
	}
}
