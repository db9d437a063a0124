/*
 * Parses INI text, with inih, into a list of entries with their file and line.
 * Files are merged by adding them to one set in order: an entry replaces an
 * earlier file's entry of the same section and key.  A key that is set twice
 * in one file is an error.  A set belongs to one thread at a time.
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

/* A set of entries; a zeroed set is empty and valid. */
struct ini {
	struct ini_entry *entries;
	size_t n;
};

/*
 * Adds the text of one file to a set.  On error (ERR_CONFIG) the set stays
 * unchanged and e names file and line.
 */
int ini_add(struct ini *set, const char *file, struct str text, struct err *e);
/* Returns the entry, or NULL if the set has none. */
const struct ini_entry *ini_find(
    const struct ini *set, const char *section, const char *key);
/* Appends the contents of a file to out; returns ERR_IO on failure. */
int ini_read_file(const char *path, struct buf *out, struct err *e);
void ini_free(struct ini *set);

#endif
