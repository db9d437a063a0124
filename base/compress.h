/* Packing of large texts for the way between hosts, by zlib. */
#ifndef BASE_COMPRESS_H
#define BASE_COMPRESS_H

#include "base/str.h"

/* Fast rather than small: a configuration shrinks to a tenth all the same. */
void compress_text(struct str text, struct buf *out);
/* False if the bytes are no packed text of at most most bytes. */
bool decompress_text(struct str bytes, size_t most, struct buf *out);

#endif
