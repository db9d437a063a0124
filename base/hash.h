/* Hashes: fast ones for tables, SHA-256 and HMAC for secrets and names. */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include "base/str.h"

#define HASH_HEX_LEN 64

/* A fast, seeded, non-cryptographic hash. */
uint64_t hash_u64(struct str s, uint64_t seed);
/* Lower-case hex of SHA-256, NUL-terminated. */
void hash_sha256(struct str s, char out[HASH_HEX_LEN + 1]);
/* Lower-case hex of HMAC-SHA-256, NUL-terminated. */
void hash_hmac(struct str key, struct str s, char out[HASH_HEX_LEN + 1]);
/* Compares two hex digests in constant time. */
bool hash_equal(const char a[HASH_HEX_LEN + 1], const char b[HASH_HEX_LEN + 1]);

#endif
