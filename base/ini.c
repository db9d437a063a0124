#include "base/ini.h"

#include <errno.h>
#include <ini.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct reader {
	struct str rest;
	int line;
	bool too_long;
	const char *file;
	struct ini fresh;
	const struct ini_entry *twice;
};

/* Gives inih one line at a time and counts them. */
static char *
next_line(char *out, int cap, void *arg)
{
	struct reader *r = arg;
	struct str line;

	if (!str_cut(&r->rest, '\n', &line))
		return NULL;
	r->line++;
	if (line.n + 2 > (size_t)cap) {
		r->too_long = true;
		return NULL;
	}
	if (line.n > 0)
		memcpy(out, line.p, line.n);
	out[line.n] = '\n';
	out[line.n + 1] = '\0';
	return out;
}

static void
free_entry(struct ini_entry *e)
{
	free(e->file);
	free(e->section);
	free(e->key);
	free(e->value);
}

static void
append(struct ini *set, struct ini_entry e)
{
	set->entries = xrealloc(set->entries, set->n + 1, sizeof(e));
	set->entries[set->n++] = e;
}

/* Moves the entries of fresh into set; what they replace is left in fresh. */
static void
merge(struct ini *set, struct ini *fresh)
{
	for (size_t i = 0; i < fresh->n; i++) {
		struct ini_entry e = fresh->entries[i];
		struct ini_entry *old =
		    (struct ini_entry *)ini_find(set, e.section, e.key);

		if (old != NULL) {
			fresh->entries[i] = *old;
			*old = e;
		} else {
			append(set, e);
			fresh->entries[i] = (struct ini_entry){ 0 };
		}
	}
}

static int
on_entry(void *arg, const char *section, const char *key, const char *value)
{
	struct reader *r = arg;

	if (ini_find(&r->fresh, section, key) != NULL) {
		r->twice = ini_find(&r->fresh, section, key);
		return 0;
	}
	append(&r->fresh,
	    (struct ini_entry){
		.file = str_dup(str_from(r->file)),
		.line = r->line,
		.section = str_dup(str_from(section)),
		.key = str_dup(str_from(key)),
		.value = str_dup(str_from(value)),
	    });
	return 1;
}

int
ini_add(struct ini *set, const char *file, struct str text, struct err *e)
{
	struct reader r = { .rest = text, .file = file };
	int line = ini_parse_stream(next_line, &r, on_entry, &r);
	int rc = 0;

	if (r.twice != NULL) {
		rc = err_set(e, ERR_CONFIG,
		    "%s:%d: [%s] %s is set twice in one file: keep one", file,
		    line, r.twice->section, r.twice->key);
		goto out;
	}
	if (r.too_long) {
		rc = err_set(e, ERR_CONFIG,
		    "%s:%d: the line is too long: shorten it", file, r.line);
		goto out;
	}
	if (line != 0) {
		rc = err_set(e, ERR_CONFIG,
		    "%s:%d: neither [section] nor key = value: write one", file,
		    line);
		goto out;
	}
	merge(set, &r.fresh);
out:
	ini_free(&r.fresh);
	return rc;
}

const struct ini_entry *
ini_find(const struct ini *set, const char *section, const char *key)
{
	for (size_t i = 0; i < set->n; i++) {
		const struct ini_entry *e = &set->entries[i];

		if (strcmp(e->section, section) == 0 &&
		    strcmp(e->key, key) == 0)
			return e;
	}
	return NULL;
}

int
ini_read_file(const char *path, struct buf *out, struct err *e)
{
	FILE *f = fopen(path, "re");
	char part[4096];
	size_t n;
	int rc = 0;

	if (f == NULL)
		return err_set(
		    e, ERR_IO, "%s: %s: check the path", path, strerror(errno));
	while ((n = fread(part, 1, sizeof(part), f)) > 0)
		buf_put(out, (struct str){ part, n });
	if (ferror(f))
		rc = err_set(
		    e, ERR_IO, "%s: %s: check the file", path, strerror(errno));
	fclose(f);
	return rc;
}

void
ini_free(struct ini *set)
{
	for (size_t i = 0; i < set->n; i++)
		free_entry(&set->entries[i]);
	free(set->entries);
	*set = (struct ini){ 0 };
}
