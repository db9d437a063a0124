#include "base/compress.h"

#include <stdlib.h>
#include <zlib.h>

#define LEVEL        1
#define LENGTH_BYTES 4 /* of the text, before the packed bytes */

void
compress_text(struct str text, struct buf *out)
{
	uLongf n = compressBound((uLong)text.n);
	unsigned char *bytes = xcalloc(1, n);

	for (int i = 0; i < LENGTH_BYTES; i++)
		buf_putc(out, (char)(text.n >> (8 * i) & 0xff));
	if (compress2(bytes, &n, (const Bytef *)text.p, (uLong)text.n, LEVEL) ==
	    Z_OK)
		buf_put(out, (struct str){ (const char *)bytes, n });
	free(bytes);
}

bool
decompress_text(struct str bytes, size_t most, struct buf *out)
{
	unsigned char *text;
	size_t want = 0;
	uLongf n;
	bool ok;

	if (bytes.n < LENGTH_BYTES)
		return false;
	for (int i = 0; i < LENGTH_BYTES; i++)
		want |= (size_t)(unsigned char)bytes.p[i] << (8 * i);
	if (want > most)
		return false;
	n = (uLongf)want;
	text = xcalloc(1, want + 1);
	ok = uncompress(text, &n, (const Bytef *)bytes.p + LENGTH_BYTES,
		 (uLong)(bytes.n - LENGTH_BYTES)) == Z_OK &&
	    n == want;
	if (ok)
		buf_put(out, (struct str){ (const char *)text, want });
	free(text);
	return ok;
}
