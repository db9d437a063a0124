#include "kernel/overload/suspicion.h"
#include "base/hash.h"

/* Long enough for an answer that is late by several resends of a job. */
#define ALIVE_TIME (500 * USEC_PER_MSEC)
/* Doubled each time while nothing is heard. */
#define MIN_LENGTH (2 * USEC_PER_SEC)
#define MAX_LENGTH (8 * USEC_PER_SEC)
/* How long a host doesn't coordinate a service of which it gave a job back. */
#define DECLINED   (2 * USEC_PER_SEC)

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

void
declined_init(struct declined *d)
{
	d->until =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

static uint64_t
declined_key(const char *service, const char *host, uint64_t incarnation)
{
	return hash_u64(
	    str_from(host), hash_u64(str_from(service), incarnation));
}

static gboolean
is_over(gpointer key, gpointer until, gpointer now)
{
	(void)key;
	return *(const usec_t *)until <= *(const usec_t *)now;
}

void
declined_add(struct declined *d, const char *service, const char *host,
    uint64_t incarnation, usec_t now)
{
	uint64_t key = declined_key(service, host, incarnation);
	usec_t until = now + DECLINED;

	g_hash_table_foreach_remove(d->until, is_over, &now);
	g_hash_table_replace(d->until, g_memdup2(&key, sizeof(key)),
	    g_memdup2(&until, sizeof(until)));
}

bool
declined_has(const struct declined *d, const char *service, const char *host,
    uint64_t incarnation, usec_t now)
{
	uint64_t key;
	const usec_t *until;

	if (g_hash_table_size(d->until) == 0)
		return false;
	key = declined_key(service, host, incarnation);
	until = g_hash_table_lookup(d->until, &key);
	return until != NULL && now < *until;
}

void
declined_free(struct declined *d)
{
	g_hash_table_destroy(d->until);
}
