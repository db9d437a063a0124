#include "base/compress.h"

#include <stdlib.h>
#include <zlib.h>

#define ZLIB_LEVEL   1
#define LENGTH_BYTES 4 /* prefix: length of the text, little-endian */

void
compress_text(struct str text, struct buf *out)
{
	uLongf n = compressBound((uLong)text.n);
	unsigned char *bytes = xcalloc(1, n);

	for (int i = 0; i < LENGTH_BYTES; i++)
		buf_putc(out, (char)(text.n >> (8 * i) & 0xff));
	if (compress2(bytes, &n, (const Bytef *)text.p, (uLong)text.n,
		ZLIB_LEVEL) == Z_OK)
		buf_put(out, (struct str){ (const char *)bytes, n });
	free(bytes);
}

bool
decompress_text(struct str bytes, size_t max_len, struct buf *out)
{
	unsigned char *text;
	size_t len = 0;
	uLongf n;
	bool ok;

	if (bytes.n < LENGTH_BYTES)
		return false;
	for (int i = 0; i < LENGTH_BYTES; i++)
		len |= (size_t)(unsigned char)bytes.p[i] << (8 * i);
	if (len > max_len)
		return false;
	n = (uLongf)len;
	text = xcalloc(1, len + 1);
	ok = uncompress(text, &n, (const Bytef *)bytes.p + LENGTH_BYTES,
		 (uLong)(bytes.n - LENGTH_BYTES)) == Z_OK &&
	    n == len;
	if (ok)
		buf_put(out, (struct str){ (const char *)text, len });
	free(text);
	return ok;
}
