#include "kernel/overload/suspicion.h"

/* Long enough for an answer that is late by several resends of a job. */
#define ALIVE_TIME (500 * USEC_PER_MSEC)
/* Doubled each time while nothing is heard. */
#define MIN_LENGTH (2 * USEC_PER_SEC)
#define MAX_LENGTH (8 * USEC_PER_SEC)

void
suspicion_heard(struct suspicion *s, usec_t now)
{
	s->heard_at = now;
	s->length = 0;
}

bool
suspicion_unanswered(struct suspicion *s, uint64_t incarnation, usec_t now)
{
	if (incarnation != s->incarnation || now < s->until)
		return false;
	s->length *= 2;
	if (s->length < MIN_LENGTH)
		s->length = MIN_LENGTH;
	if (s->length > MAX_LENGTH)
		s->length = MAX_LENGTH;
	s->until = now + s->length;
	return true;
}

bool
suspicion_is_suspect(const struct suspicion *s, usec_t now)
{
	return now < s->until;
}

bool
suspicion_is_alive(const struct suspicion *s, usec_t now)
{
	return s->heard_at != 0 && now - s->heard_at < ALIVE_TIME;
}
