#include "kernel/conffiles.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *
copy_text(const char *c)
{
	return c == NULL ? NULL : str_dup(str_from(c));
}

/* The index of a name, or the index at which to insert it. */
static size_t
find_position(const struct conffiles *f, const char *name, bool *found)
{
	size_t lo = 0;
	size_t hi = f->n;

	*found = false;
	while (lo < hi) {
		size_t mid = (lo + hi) / 2;
		int c = strcmp(f->v[mid].name, name);

		if (c == 0) {
			*found = true;
			return mid;
		}
		if (c < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct conffile *
conffiles_find(const struct conffiles *f, const char *name)
{
	bool found;
	size_t i = find_position(f, name, &found);

	return found ? &f->v[i] : NULL;
}

const char *
conffiles_hash(const struct conffiles *f, const char *name)
{
	const struct conffile *x = conffiles_find(f, name);

	return x == NULL ? "" : x->hash;
}

static void
remove_file(struct conffiles *f, struct conffile *x)
{
	size_t after = f->n - (size_t)(x - f->v) - 1;

	free(x->name);
	buf_free(&x->body);
	memmove(x, x + 1, after * sizeof(*x));
	f->n--;
}

static struct conffile *
insert_file(struct conffiles *f, const char *name)
{
	bool found;
	size_t i = find_position(f, name, &found);
	struct conffile *x;

	f->v = xrealloc(f->v, f->n + 1, sizeof(*f->v));
	x = f->v + i;
	memmove(x + 1, x, (f->n - i) * sizeof(*x));
	f->n++;
	*x = (struct conffile){ .name = str_dup(str_from(name)) };
	return x;
}

void
conffiles_set(struct conffiles *f, const char *name, const char *hash)
{
	struct conffile *x = conffiles_find(f, name);

	if (hash[0] == '\0') {
		if (x != NULL)
			remove_file(f, x);
		return;
	}
	if (x == NULL)
		x = insert_file(f, name);
	if (strcmp(x->hash, hash) == 0)
		return;
	buf_clear(&x->body);
	x->has_body = false;
	snprintf(x->hash, sizeof(x->hash), "%s", hash);
}

void
conffile_set_body(struct conffile *x, struct str body)
{
	buf_clear(&x->body);
	buf_put(&x->body, body);
	x->has_body = true;
}

void
conffiles_copy(struct conffiles *to, const struct conffile *x)
{
	struct conffile *y;

	conffiles_set(to, x->name, x->hash);
	y = conffiles_find(to, x->name);
	if (y != NULL && x->has_body && !y->has_body)
		conffile_set_body(y, str_of(&x->body));
}

bool
conffiles_put(struct conffiles *f, const char *name, struct str body)
{
	char hash[HASH_HEX_LEN + 1];
	size_t n = strlen(name);
	struct conffile *x;

	if (n <= 4 || strcmp(name + n - 4, ".ini") != 0)
		return false;
	hash_sha256(body, hash);
	conffiles_set(f, name, hash);
	x = conffiles_find(f, name);
	if (x != NULL)
		conffile_set_body(x, body);
	return true;
}

void
conffiles_free(struct conffiles *f)
{
	for (size_t i = 0; i < f->n; i++) {
		free(f->v[i].name);
		buf_free(&f->v[i].body);
	}
	free(f->v);
	*f = (struct conffiles){ 0 };
}

const struct conffile *
conffiles_missing_body(const struct conffiles *f)
{
	for (size_t i = 0; i < f->n; i++) {
		if (!f->v[i].has_body)
			return &f->v[i];
	}
	return NULL;
}

static int
read_ini(const struct conffiles *f, struct ini *ini, struct err *e)
{
	const struct conffile *missing = conffiles_missing_body(f);

	if (missing != NULL)
		return err_set(e, ERR_NOT_READY,
		    "the body of %s (%.12s) is missing; fetch it from the "
		    "key-value service or a peer",
		    missing->name, missing->hash);
	for (size_t i = 0; i < f->n; i++) {
		int rc = ini_add(ini, f->v[i].name, str_of(&f->v[i].body), e);

		if (rc != 0)
			return rc;
	}
	return 0;
}

struct conf *
conffiles_conf(const struct conffiles *f, uint64_t generation, struct err *e)
{
	struct ini ini = { 0 };
	struct conf *c = NULL;

	if (read_ini(f, &ini, e) == 0)
		c = conf_read(&ini, generation, e);
	ini_free(&ini);
	return c;
}

static void
add_key(struct confdiff *out, const struct ini_entry *at, const char *before,
    const char *after)
{
	out->v = xrealloc(out->v, out->n + 1, sizeof(*out->v));
	out->v[out->n++] = (struct confdiff_key){
		.section = copy_text(at->section),
		.key = copy_text(at->key),
		.before = copy_text(before),
		.after = copy_text(after),
	};
}

static int
compare_keys(const void *a, const void *b)
{
	const struct confdiff_key *x = a;
	const struct confdiff_key *y = b;
	int c = strcmp(x->section, y->section);

	return c != 0 ? c : strcmp(x->key, y->key);
}

static void
diff_ini(
    const struct ini *before, const struct ini *after, struct confdiff *out)
{
	for (size_t i = 0; i < after->n; i++) {
		const struct ini_entry *x = &after->entries[i];
		const struct ini_entry *y =
		    ini_find(before, x->section, x->key);

		if (y == NULL || strcmp(x->value, y->value) != 0)
			add_key(out, x, y == NULL ? NULL : y->value, x->value);
	}
	for (size_t i = 0; i < before->n; i++) {
		const struct ini_entry *x = &before->entries[i];

		if (ini_find(after, x->section, x->key) == NULL)
			add_key(out, x, x->value, NULL);
	}
	if (out->n > 0)
		qsort(out->v, out->n, sizeof(*out->v), compare_keys);
}

int
conffiles_diff(const struct conffiles *before, const struct conffiles *after,
    struct confdiff *out, struct err *e)
{
	struct ini x = { 0 };
	struct ini y = { 0 };
	int rc = read_ini(before, &x, e);

	if (rc == 0)
		rc = read_ini(after, &y, e);
	if (rc == 0)
		diff_ini(&x, &y, out);
	ini_free(&x);
	ini_free(&y);
	return rc;
}

void
confdiff_format(const struct confdiff *keys, struct buf *out)
{
	for (size_t i = 0; i < keys->n; i++) {
		const struct confdiff_key *k = &keys->v[i];

		buf_printf(out, "[%s] %s: %s -> %s\n", k->section, k->key,
		    k->before == NULL ? "(not set)" : k->before,
		    k->after == NULL ? "(not set)" : k->after);
	}
}

void
confdiff_free(struct confdiff *keys)
{
	for (size_t i = 0; i < keys->n; i++) {
		free(keys->v[i].section);
		free(keys->v[i].key);
		free(keys->v[i].before);
		free(keys->v[i].after);
	}
	free(keys->v);
	*keys = (struct confdiff){ 0 };
}
