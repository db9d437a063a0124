/*
 * Hashes: a fast one for hash tables; SHA-256 and HMAC-SHA-256 for secrets,
 * signatures and content addresses.  All functions may be called from any
 * thread.
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include "base/str.h"

#define HASH_HEX_LEN 64 /* length of a digest in hex, without the NUL */

/* Fast, seeded, non-cryptographic hash. */
uint64_t hash_u64(struct str s, uint64_t seed);
/* SHA-256 in lower-case hex, NUL-terminated. */
void hash_sha256(struct str s, char out[HASH_HEX_LEN + 1]);
/* HMAC-SHA-256 in lower-case hex, NUL-terminated. */
void hash_hmac(struct str key, struct str s, char out[HASH_HEX_LEN + 1]);
/* HMAC-SHA-256 of n parts, one after the other. */
void hash_hmac_parts(struct str key, const struct str *parts, size_t n,
    char out[HASH_HEX_LEN + 1]);
/* Compares two hex digests in constant time. */
bool hash_equal(const char a[HASH_HEX_LEN + 1], const char b[HASH_HEX_LEN + 1]);

#endif
