/* Generates docs/SETTINGS.md from the tables of settings and conf keys. */
#ifndef CTL_SETTINGS_PAGE_H
#define CTL_SETTINGS_PAGE_H

#include "base/str.h"

/* Appends the page, in Markdown, to out. */
void settings_page_write(struct buf *out);

#endif
