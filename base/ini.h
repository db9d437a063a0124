/*
 * INI text read into a list of entries that remember file and line.
 * The parser is inih; a later entry with the same section and key replaces
 * the earlier one, which is how files are merged.
 */
#ifndef BASE_INI_H
#define BASE_INI_H

#include "base/err.h"

struct ini_entry {
	char *file;
	int line;
	char *section;
	char *key;
	char *value;
};

struct ini {
	struct ini_entry *entries;
	size_t n;
};

/*
 * Adds the text of one file to a set.  On error nothing of it is added and e
 * names file and line (ERR_CONFIG).
 */
int ini_add(struct ini *set, const char *file, struct str text, struct err *e);
/* The entry, or NULL. */
const struct ini_entry *ini_find(
    const struct ini *set, const char *section, const char *key);
/* Reads a whole file; ERR_IO names the file. */
int ini_read_file(const char *path, struct buf *out, struct err *e);
void ini_free(struct ini *set);

#endif
