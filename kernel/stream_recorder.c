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

const char *
stream_recorder_choose(const struct stream_recorder *r,
    const struct rendezvous_host *v, size_t n, const char *self, usec_t now)
{
	const char *ids[STREAM_RECORDERS];
	size_t n_ids =
	    rendezvous_choose(v, n, RECORDER_SEED, ids, STREAM_RECORDERS);

	for (size_t i = 0; i < n_ids; i++) {
		const usec_t *until = g_hash_table_lookup(r->failed, ids[i]);

		if (until == NULL || now >= *until)
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

void
stream_recorder_free(struct stream_recorder *r)
{
	g_hash_table_destroy(r->failed);
}
