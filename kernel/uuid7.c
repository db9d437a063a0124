#include "kernel/uuid7.h"

#include <glib.h>

#define TEXT_BYTES     36
#define TIME_BYTES     6
#define VERSION_BYTE   6
#define VARIANT_BYTE   8
#define VERSION        7
#define VARIANT        2
#define IS_DASH_POS(i) ((i) == 8 || (i) == 13 || (i) == 18 || (i) == 23)

bool
uuid7_parse(struct str key, uint8_t out[UUID7_BYTES])
{
	size_t n = 0;

	if (key.n != TEXT_BYTES)
		return false;
	for (size_t i = 0; i < TEXT_BYTES;) {
		int hi, lo;

		if (IS_DASH_POS(i)) {
			if (key.p[i++] != '-')
				return false;
			continue;
		}
		hi = g_ascii_xdigit_value(key.p[i++]);
		lo = g_ascii_xdigit_value(key.p[i++]);
		if (hi < 0 || lo < 0)
			return false;
		out[n++] = (uint8_t)(hi << 4 | lo);
	}
	return out[VERSION_BYTE] >> 4 == VERSION &&
	    out[VARIANT_BYTE] >> 6 == VARIANT;
}

usec_t
uuid7_time(const uint8_t uuid[UUID7_BYTES])
{
	usec_t ms = 0;

	for (size_t i = 0; i < TIME_BYTES; i++)
		ms = ms << 8 | uuid[i];
	return ms * USEC_PER_MSEC;
}

int
uuid7_check(struct str key, usec_t wall, usec_t retention)
{
	uint8_t uuid[UUID7_BYTES];
	usec_t t;

	if (!uuid7_parse(key, uuid))
		return ERR_KEY_BAD;
	t = uuid7_time(uuid);
	if (t > wall + UUID7_MAX_SKEW)
		return ERR_KEY_BAD;
	return t < wall - retention ? ERR_KEY_OLD : 0;
}
