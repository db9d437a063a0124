/*
 * Compression with zlib, for large texts that sequoiads send to each other. All
 * functions may be called from any thread.
 */
#ifndef BASE_COMPRESS_H
#define BASE_COMPRESS_H

#include "base/str.h"

/*
 * Appends the compressed text to out.  Uses zlib's fastest level, which still
 * reduces a configuration to a tenth.
 */
void compress_text(struct str text, struct buf *out);
/*
 * Appends the decompressed text to out.  Returns false if bytes is not an
 * output of compress_text() or the text is longer than max_len.
 */
bool decompress_text(struct str bytes, size_t max_len, struct buf *out);

#endif
