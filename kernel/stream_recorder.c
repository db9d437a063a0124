#include "kernel/stream_recorder.h"

#define RECORDER_SEED  41
/* How long a host that did not record a stream isn't asked to. */
#define RECORDER_PAUSE (2 * USEC_PER_SEC)

void
stream_recorder_init(struct stream_recorder *r)
{
	r->failed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

size_t
stream_recorder_rank(
    const struct rendezvous_host *v, size_t n, const char **out, size_t max)
{
	return rendezvous_choose(v, n, RECORDER_SEED, out, max);
}

const char *
stream_recorder_choose(const struct stream_recorder *r,
    const struct rendezvous_host *v, size_t n, const char *self, usec_t now)
{
	const char *ids[STREAM_RECORDERS];
	size_t n_ids = stream_recorder_rank(v, n, ids, STREAM_RECORDERS);

	for (size_t i = 0; i < n_ids; i++) {
		if (now >= stream_recorder_failed_until(r, ids[i]))
			return ids[i];
	}
	return n_ids > 0 ? ids[0] : self;
}

void
stream_recorder_failed(struct stream_recorder *r, const char *id, usec_t now)
{
	usec_t *until = g_new(usec_t, 1);

	*until = now + RECORDER_PAUSE;
	g_hash_table_replace(r->failed, g_strdup(id), until);
}

usec_t
stream_recorder_failed_until(const struct stream_recorder *r, const char *id)
{
	const usec_t *until = g_hash_table_lookup(r->failed, id);

	return until != NULL ? *until : 0;
}

void
stream_recorder_succeeded(struct stream_recorder *r, const char *id)
{
	g_hash_table_remove(r->failed, id);
}

void
stream_recorder_free(struct stream_recorder *r)
{
	g_hash_table_destroy(r->failed);
}
