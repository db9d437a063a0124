#include "ctl/folder.h"

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define SUFFIX      ".ini"
#define FOLDER_MODE 0755
#define BASE        ".generation" /* not an INI file: never applied */

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
	rc = ini_read_file(full.p, &x.body, e);
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

int
folder_create(const char *path, struct err *e)
{
	if (mkdir(path, FOLDER_MODE) == 0 || errno == EEXIST)
		return 0;
	return err_set(e, ERR_IO, "%s: %s: name a folder that can be made",
	    path, strerror(errno));
}

int
folder_write(const char *path, const char *name, struct str body, struct err *e)
{
	struct buf full = { 0 };
	FILE *out;
	int rc = 0;

	buf_printf(&full, "%s/%s", path, name);
	out = fopen(full.p, "we");
	if (out == NULL || fwrite(body.p, 1, body.n, out) != body.n)
		rc = err_set(e, ERR_IO, "%s: %s: check the folder", full.p,
		    strerror(errno));
	if (out != NULL && fclose(out) != 0)
		rc = err_set(e, ERR_IO, "%s: %s: check the folder", full.p,
		    strerror(errno));
	buf_free(&full);
	return rc;
}

int
folder_remove(const char *path, const char *name, struct err *e)
{
	struct buf full = { 0 };
	int rc = 0;

	buf_printf(&full, "%s/%s", path, name);
	if (remove(full.p) != 0)
		rc = err_set(e, ERR_IO, "%s: %s: check the folder", full.p,
		    strerror(errno));
	buf_free(&full);
	return rc;
}

uint64_t
folder_load_base(const char *path)
{
	struct buf full = { 0 };
	struct buf text = { 0 };
	uint64_t base = 0;

	buf_printf(&full, "%s/%s", path, BASE);
	if (ini_read_file(full.p, &text, NULL) != 0 ||
	    !str_parse_u64(str_trim(str_of(&text)), &base))
		base = 0;
	buf_free(&full);
	buf_free(&text);
	return base;
}

void
folder_save_base(const char *path, uint64_t generation)
{
	struct buf text = { 0 };
	struct err e = { 0 };

	buf_printf(&text, "%llu\n", (unsigned long long)generation);
	if (folder_write(path, BASE, str_of(&text), &e) != 0)
		fprintf(stderr, "sequoiactl: %s; next time say --base %llu\n",
		    e.text, (unsigned long long)generation);
	buf_free(&text);
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
