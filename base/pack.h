/*
 * Compression, with zlib, of large texts that hosts send each other.  All
 * functions may be called from any thread.
 */
#ifndef BASE_PACK_H
#define BASE_PACK_H

#include "base/str.h"

/*
 * Appends the compressed text to out.  Uses zlib's fastest level, which still
 * reduces a configuration to a tenth.
 */
void pack(struct str text, struct buf *out);
/*
 * Appends the decompressed text to out.  Returns false if bytes were not
 * written by compress_text() or the text is longer than max_len.
 */
bool unpack(struct str bytes, size_t max_len, struct buf *out);

#endif
