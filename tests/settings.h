/*
 * INI settings of a test program.  An invalid setting ends the program with a
 * message on stderr.
 */
#ifndef TESTS_SETTINGS_H
#define TESTS_SETTINGS_H

#include "base/ini.h"

/* Adds the settings of a file. */
void settings_read(struct ini *ini, const char *path);
/*
 * Return the value of a key, or the fallback if the key is not set; without a
 * fallback (NULL) the key is required.
 */
const char *settings_text(const struct ini *ini, const char *section,
    const char *key, const char *fallback);
uint32_t settings_number(const struct ini *ini, const char *section,
    const char *key, const char *fallback);
/*
 * Returns whether an entry is the first of a section whose name has the
 * prefix.
 */
bool settings_starts_section(
    const struct ini *ini, size_t entry, const char *prefix);

#endif
