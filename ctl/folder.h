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
void folder_free(struct folder *f);

#endif
