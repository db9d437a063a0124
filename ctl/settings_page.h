/* The keys of settings and configuration as the page docs/SETTINGS.md. */
#ifndef CTL_SETTINGS_PAGE_H
#define CTL_SETTINGS_PAGE_H

#include "base/str.h"

void settings_page_write(struct buf *out);

#endif
