#include "base/hash.h"

#include <glib.h>
#include <stdio.h>
#include <xxhash.h>

uint64_t
hash_u64(struct str s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s.n > 0 ? s.p : "", s.n, seed);
}

void
hash_sha256(struct str s, char out[HASH_HEX_LEN + 1])
{
	g_autofree char *h = g_compute_checksum_for_data(
	    G_CHECKSUM_SHA256, (const guchar *)(s.n > 0 ? s.p : ""), s.n);

	snprintf(out, HASH_HEX_LEN + 1, "%s", h);
}

void
hash_hmac_parts(struct str key, const struct str *parts, size_t n,
    char out[HASH_HEX_LEN + 1])
{
	GHmac *h = g_hmac_new(
	    G_CHECKSUM_SHA256, (const guchar *)(key.n > 0 ? key.p : ""), key.n);

	for (size_t i = 0; i < n; i++) {
		if (parts[i].n > 0)
			g_hmac_update(
			    h, (const guchar *)parts[i].p, (gssize)parts[i].n);
	}
	snprintf(out, HASH_HEX_LEN + 1, "%s", g_hmac_get_string(h));
	g_hmac_unref(h);
}

void
hash_hmac(struct str key, struct str s, char out[HASH_HEX_LEN + 1])
{
	hash_hmac_parts(key, &s, 1, out);
}

bool
hash_equal(const char a[HASH_HEX_LEN + 1], const char b[HASH_HEX_LEN + 1])
{
	unsigned diff = 0;

	for (int i = 0; i < HASH_HEX_LEN; i++)
		diff |= (unsigned char)a[i] ^ (unsigned char)b[i];
	return diff == 0;
}
