/* An operator's folder of INI files. */
#ifndef CTL_FOLDER_H
#define CTL_FOLDER_H

#include "base/ini.h"

struct folder_file {
	char *name;
	struct buf body;
};

/* Files in the order of their names. */
struct folder {
	struct folder_file *v;
	size_t n;
};

/* Reads every file of the folder whose name ends in ".ini". */
int folder_read(struct folder *f, const char *path, struct err *e);
/* Merges the files into one set. */
int folder_merge(const struct folder *f, struct ini *out, struct err *e);
/* Makes the folder unless it is there. */
int folder_create(const char *path, struct err *e);
/* Replaces one file of the folder. */
int folder_write(
    const char *path, const char *name, struct str body, struct err *e);
int folder_remove(const char *path, const char *name, struct err *e);
/*
 * The generation that the folder was last applied as or read from, kept in a
 * file beside the others; 0 if there is none.
 */
uint64_t folder_load_base(const char *path);
void folder_save_base(const char *path, uint64_t generation);
void folder_free(struct folder *f);

#endif
