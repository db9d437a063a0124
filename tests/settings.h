/* INI settings of a test program; what is wrong with them ends it. */
#ifndef TESTS_SETTINGS_H
#define TESTS_SETTINGS_H

#include "base/ini.h"

void settings_read(struct ini *ini, const char *path);
/* A key's text; NULL as the fallback: it must be set. */
const char *settings_text(const struct ini *ini, const char *section,
    const char *key, const char *fallback);
uint32_t settings_number(const struct ini *ini, const char *section,
    const char *key, const char *fallback);
/* Whether an entry is the first of its section, whose name has the prefix. */
bool settings_starts_section(const struct ini *ini, size_t entry, const char *prefix);

#endif
