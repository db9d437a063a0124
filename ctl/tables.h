/* Generates docs/SETTINGS.md from the tables of keys. */
#ifndef CTL_TABLES_H
#define CTL_TABLES_H

#include "base/str.h"

/* Appends the page, in Markdown, to out. */
void tables_write(struct buf *out);

#endif
