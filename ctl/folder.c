#include "ctl/folder.h"

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SUFFIX ".ini"

static bool
is_ini(const char *name)
{
	size_t n = strlen(name);

	return n > strlen(SUFFIX) && name[0] != '.' &&
	    strcmp(name + n - strlen(SUFFIX), SUFFIX) == 0;
}

static int
compare(const void *a, const void *b)
{
	return strcmp(((const struct folder_file *)a)->name,
	    ((const struct folder_file *)b)->name);
}

static int
read_one(struct folder *f, const char *path, const char *name, struct err *e)
{
	struct buf full = { 0 };
	struct folder_file x = { 0 };
	int rc;

	buf_printf(&full, "%s/%s", path, name);
	rc = ini_slurp(full.p, &x.body, e);
	if (rc == 0) {
		x.name = str_dup(str_from(name));
		f->v = xrealloc(f->v, f->n + 1, sizeof(x));
		f->v[f->n++] = x;
	} else {
		buf_free(&x.body);
	}
	buf_free(&full);
	return rc;
}

int
folder_read(struct folder *f, const char *path, struct err *e)
{
	DIR *d = opendir(path);
	struct dirent *x;
	int rc = 0;

	if (d == NULL)
		return err_set(e, ERR_IO, "%s: %s: name a readable folder",
		    path, strerror(errno));
	while (rc == 0 && (x = readdir(d)) != NULL) {
		if (is_ini(x->d_name))
			rc = read_one(f, path, x->d_name, e);
	}
	closedir(d);
	if (rc == 0 && f->n == 0)
		rc = err_set(e, ERR_CONFIG,
		    "%s: no file that ends in .ini: write one", path);
	if (f->n > 0)
		qsort(f->v, f->n, sizeof(*f->v), compare);
	return rc;
}

int
folder_merge(const struct folder *f, struct ini *out, struct err *e)
{
	for (size_t i = 0; i < f->n; i++) {
		int rc = ini_add(out, f->v[i].name, str_of(&f->v[i].body), e);

		if (rc != 0)
			return rc;
	}
	return 0;
}

void
folder_free(struct folder *f)
{
	for (size_t i = 0; i < f->n; i++) {
		free(f->v[i].name);
		buf_free(&f->v[i].body);
	}
	free(f->v);
	*f = (struct folder){ 0 };
}
