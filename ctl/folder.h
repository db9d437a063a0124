/*
 * An operator's folder of configuration files.  Functions that return int
 * return 0 or a negative error number (enum err_kind); most errors are ERR_IO.
 */
#ifndef CTL_FOLDER_H
#define CTL_FOLDER_H

#include "base/ini.h"

struct folder_file {
	char *name;
	struct buf body;
};

/* Files sorted by name. */
struct folder {
	struct folder_file *v;
	size_t n;
};

/*
 * Reads the files whose names end in ".ini"; hidden files are skipped.  A
 * folder without such files is an error (ERR_CONFIG).
 */
int folder_read(struct folder *f, const char *path, struct err *e);
/* Merges the files, in order of their names, into one set. */
int folder_merge(const struct folder *f, struct ini *out, struct err *e);
/* Creates the folder if it does not exist. */
int folder_create(const char *path, struct err *e);
/* Creates or replaces one file of the folder. */
int folder_write(
    const char *path, const char *name, struct str body, struct err *e);
int folder_remove(const char *path, const char *name, struct err *e);
/*
 * Returns the base generation: the generation as which the folder was last
 * applied, or from which it was last pulled.  It is saved in a file of the
 * folder; returns 0 if there is none.
 */
uint64_t folder_load_base(const char *path);
/* Saves the base generation; prints a warning on failure. */
void folder_save_base(const char *path, uint64_t generation);
void folder_free(struct folder *f);

#endif
