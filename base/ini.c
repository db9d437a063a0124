#include "base/ini.h"

#include <errno.h>
#include <ini.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct ini_parser {
	struct str rest;
	int line;
	bool too_long;
	const char *file;
	struct ini parsed;
	const struct ini_entry *duplicate;
};

/* Passes the next line to inih and counts it. */
static char *
next_line(char *out, int cap, void *arg)
{
	struct ini_parser *p = arg;
	struct str line;

	if (!str_cut(&p->rest, '\n', &line))
		return NULL;
	p->line++;
	if (line.n + 2 > (size_t)cap) {
		p->too_long = true;
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

/* Moves the parsed entries into set, and the entries they replace to parsed. */
static void
merge(struct ini *set, struct ini *parsed)
{
	for (size_t i = 0; i < parsed->n; i++) {
		struct ini_entry e = parsed->entries[i];
		struct ini_entry *old =
		    (struct ini_entry *)ini_find(set, e.section, e.key);

		if (old != NULL) {
			parsed->entries[i] = *old;
			*old = e;
		} else {
			append(set, e);
			parsed->entries[i] = (struct ini_entry){ 0 };
		}
	}
}

static int
on_entry(void *arg, const char *section, const char *key, const char *value)
{
	struct ini_parser *p = arg;

	if (ini_find(&p->parsed, section, key) != NULL) {
		p->duplicate = ini_find(&p->parsed, section, key);
		return 0;
	}
	append(&p->parsed,
	    (struct ini_entry){
		.file = str_dup(str_from(p->file)),
		.line = p->line,
		.section = str_dup(str_from(section)),
		.key = str_dup(str_from(key)),
		.value = str_dup(str_from(value)),
	    });
	return 1;
}

int
ini_add(struct ini *set, const char *file, struct str text, struct err *e)
{
	struct ini_parser p = { .rest = text, .file = file };
	int line = ini_parse_stream(next_line, &p, on_entry, &p);
	int rc = 0;

	if (p.duplicate != NULL) {
		rc = err_set(e, ERR_CONFIG,
		    "%s:%d: [%s] %s is set twice in one file: keep one", file,
		    line, p.duplicate->section, p.duplicate->key);
		goto out;
	}
	if (p.too_long) {
		rc = err_set(e, ERR_CONFIG,
		    "%s:%d: the line is too long: shorten it", file, p.line);
		goto out;
	}
	if (line != 0) {
		rc = err_set(e, ERR_CONFIG,
		    "%s:%d: neither [section] nor key = value: write one", file,
		    line);
		goto out;
	}
	merge(set, &p.parsed);
out:
	ini_free(&p.parsed);
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
	char chunk[4096];
	size_t n;
	int rc = 0;

	if (f == NULL)
		return err_set(
		    e, ERR_IO, "%s: %s: check the path", path, strerror(errno));
	while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0)
		buf_put(out, (struct str){ chunk, n });
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
