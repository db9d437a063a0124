/* The keys of settings and configuration as the page docs/SETTINGS.md. */
#ifndef CTL_TABLES_H
#define CTL_TABLES_H

#include "base/str.h"

void tables_write(struct buf *out);

#endif
