#include "kernel/confstate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static char *
copy(const char *c)
{
	return c == NULL ? NULL : str_dup(str_from(c));
}

static void
copy_hash(char out[HASH_HEX_LEN + 1], const char *hash)
{
	snprintf(out, HASH_HEX_LEN + 1, "%s", hash);
}

/* The index of a name, or where it belongs. */
static size_t
position(const struct confstate_files *f, const char *name, bool *found)
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

static struct confstate_file *
find_file(const struct confstate_files *f, const char *name)
{
	bool found;
	size_t i = position(f, name, &found);

	return found ? &f->v[i] : NULL;
}

static const char *
hash_of(const struct confstate_files *f, const char *name)
{
	const struct confstate_file *x = find_file(f, name);

	return x == NULL ? "" : x->hash;
}

/* Sets a file's hash, or removes the file if the hash is empty. */
static struct confstate_file *
set_hash(struct confstate_files *f, const char *name, const char *hash)
{
	bool found;
	size_t i = position(f, name, &found);

	if (hash[0] == '\0') {
		if (found) {
			free(f->v[i].name);
			buf_free(&f->v[i].body);
			f->n--;
			memmove(
			    &f->v[i], &f->v[i + 1], (f->n - i) * sizeof(*f->v));
		}
		return NULL;
	}
	if (!found) {
		f->v = xrealloc(f->v, f->n + 1, sizeof(*f->v));
		memmove(&f->v[i + 1], &f->v[i], (f->n - i) * sizeof(*f->v));
		f->n++;
		f->v[i] = (struct confstate_file){ .name = copy(name) };
	}
	if (strcmp(f->v[i].hash, hash) != 0) {
		buf_clear(&f->v[i].body);
		f->v[i].cached = false;
		copy_hash(f->v[i].hash, hash);
	}
	return &f->v[i];
}

static void
set_body(struct confstate_file *x, struct str body)
{
	buf_clear(&x->body);
	buf_put(&x->body, body);
	x->cached = true;
}

static void
copy_file(struct confstate_files *to, const struct confstate_file *x)
{
	struct confstate_file *y = set_hash(to, x->name, x->hash);

	if (x->cached && !y->cached)
		set_body(y, str_of(&x->body));
}

bool
confstate_put(struct confstate_files *f, const char *name, struct str body)
{
	char hash[HASH_HEX_LEN + 1];
	size_t n = strlen(name);

	if (n <= 4 || strcmp(name + n - 4, ".ini") != 0)
		return false;
	hash_sha256(body, hash);
	set_body(set_hash(f, name, hash), body);
	return true;
}

void
confstate_files_free(struct confstate_files *f)
{
	for (size_t i = 0; i < f->n; i++) {
		free(f->v[i].name);
		buf_free(&f->v[i].body);
	}
	free(f->v);
	*f = (struct confstate_files){ 0 };
}

static void
drop_oldest(struct confstate *s)
{
	struct confstate_record *r = s->history[0];

	if (r->accepted)
		s->reach = r->generation;
	confstate_record_free(r);
	free(r);
	s->n_history--;
	memmove(s->history, s->history + 1, s->n_history * sizeof(*s->history));
}

static void
remember(struct confstate *s, const struct confstate_record *r)
{
	struct confstate_record *kept = xcalloc(1, sizeof(*kept));

	*kept = *r;
	if (s->n_history == CONFSTATE_HISTORY)
		drop_oldest(s);
	s->history =
	    xrealloc(s->history, s->n_history + 1, sizeof(*s->history));
	s->history[s->n_history++] = kept;
}

static const struct confstate_record *
find_change(const struct confstate *s, const char *change_id)
{
	for (size_t i = s->n_history; i > 0; i--) {
		if (strcmp(s->history[i - 1]->change_id, change_id) == 0)
			return s->history[i - 1];
	}
	return NULL;
}

int
confstate_fold(struct confstate *s, const json_t *record, struct err *e)
{
	struct confstate_record r = { 0 };
	int rc = confstate_record_read(record, &r, e);

	if (rc != 0)
		return rc;
	if (r.accepted ? r.generation <= s->generation
		       : r.generation < s->generation ||
		    find_change(s, r.change_id) != NULL) {
		confstate_record_free(&r);
		return 1;
	}
	if (r.generation > s->generation + (r.accepted ? 1 : 0)) {
		rc = err_set(e, ERR_NOT_READY,
		    "generation %llu is in force and %llu came next; read the "
		    "records between from the log or a peer",
		    (unsigned long long)s->generation,
		    (unsigned long long)r.generation);
		confstate_record_free(&r);
		return rc;
	}
	if (r.accepted) {
		for (size_t i = 0; i < r.n_files; i++)
			set_hash(&s->files, r.files[i].name, r.files[i].hash);
		s->generation = r.generation;
	}
	remember(s, &r);
	return 0;
}

bool
confstate_body(struct confstate *s, const char *hash, struct str body)
{
	char have[HASH_HEX_LEN + 1];

	hash_sha256(body, have);
	if (strcmp(have, hash) != 0)
		return false;
	for (size_t i = 0; i < s->files.n; i++) {
		struct confstate_file *x = &s->files.v[i];

		if (!x->cached && strcmp(x->hash, hash) == 0)
			set_body(x, body);
	}
	return true;
}

static const struct confstate_file *
missing_in(const struct confstate_files *f)
{
	for (size_t i = 0; i < f->n; i++) {
		if (!f->v[i].cached)
			return &f->v[i];
	}
	return NULL;
}

const struct confstate_file *
confstate_missing(const struct confstate *s)
{
	return missing_in(&s->files);
}

static int
read_ini(const struct confstate_files *f, struct ini *set, struct err *e)
{
	const struct confstate_file *gap = missing_in(f);

	if (gap != NULL)
		return err_set(e, ERR_NOT_READY,
		    "the body of %s (%.12s) is not here yet; fetch it from the "
		    "key-value service or a peer",
		    gap->name, gap->hash);
	for (size_t i = 0; i < f->n; i++) {
		int rc = ini_add(set, f->v[i].name, str_of(&f->v[i].body), e);

		if (rc != 0)
			return rc;
	}
	return 0;
}

static struct conf *
read_conf(const struct confstate_files *f, uint64_t generation, struct err *e)
{
	struct ini set = { 0 };
	struct conf *c = NULL;

	if (read_ini(f, &set, e) == 0)
		c = conf_read(&set, generation, e);
	ini_free(&set);
	return c;
}

struct conf *
confstate_conf(const struct confstate *s, struct err *e)
{
	return read_conf(&s->files, s->generation, e);
}

static void
add_key(struct confstate_keys *out, const struct ini_entry *at,
    const char *before, const char *after)
{
	out->v = xrealloc(out->v, out->n + 1, sizeof(*out->v));
	out->v[out->n++] = (struct confstate_key){
		.section = copy(at->section),
		.key = copy(at->key),
		.before = copy(before),
		.after = copy(after),
	};
}

static int
compare_keys(const void *a, const void *b)
{
	const struct confstate_key *x = a;
	const struct confstate_key *y = b;
	int c = strcmp(x->section, y->section);

	return c != 0 ? c : strcmp(x->key, y->key);
}

static void
diff_ini(const struct ini *before, const struct ini *after,
    struct confstate_keys *out)
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
confstate_diff(const struct confstate_files *before,
    const struct confstate_files *after, struct confstate_keys *out,
    struct err *e)
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
confstate_diff_text(const struct confstate_keys *keys, struct buf *out)
{
	for (size_t i = 0; i < keys->n; i++) {
		const struct confstate_key *k = &keys->v[i];

		buf_printf(out, "[%s] %s: %s -> %s\n", k->section, k->key,
		    k->before == NULL ? "(not set)" : k->before,
		    k->after == NULL ? "(not set)" : k->after);
	}
}

void
confstate_keys_free(struct confstate_keys *keys)
{
	for (size_t i = 0; i < keys->n; i++) {
		free(keys->v[i].section);
		free(keys->v[i].key);
		free(keys->v[i].before);
		free(keys->v[i].after);
	}
	free(keys->v);
	*keys = (struct confstate_keys){ 0 };
}

/* Names and hashes as they were at an older generation. */
static void
files_at(const struct confstate *s, uint64_t base, struct confstate_files *out)
{
	for (size_t i = 0; i < s->files.n; i++)
		copy_file(out, &s->files.v[i]);
	for (size_t i = s->n_history; i > 0; i--) {
		const struct confstate_record *r = s->history[i - 1];

		if (!r->accepted || r->generation <= base)
			continue;
		for (size_t j = 0; j < r->n_files; j++)
			set_hash(out, r->files[j].name, r->files[j].was);
	}
}

static const struct confstate_record *
last_change(const struct confstate *s, const char *name)
{
	for (size_t i = s->n_history; i > 0; i--) {
		const struct confstate_record *r = s->history[i - 1];

		for (size_t j = 0; r->accepted && j < r->n_files; j++) {
			if (strcmp(r->files[j].name, name) == 0)
				return r;
		}
	}
	return NULL;
}

static void
put_time(char *out, size_t n, usec_t when)
{
	time_t t = (time_t)(when / USEC_PER_SEC);
	struct tm tm;

	gmtime_r(&t, &tm);
	strftime(out, n, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

static void
refuse_file(const struct confstate *s, const struct confstate_apply *a,
    const char *name, struct err *e)
{
	const struct confstate_record *r = last_change(s, name);
	char when[32] = "an unknown time";

	if (r != NULL)
		put_time(when, sizeof(when), r->when);
	err_set(e, ERR_CONFLICT,
	    "%s was %s by %s at %s (generation %llu) after generation %llu "
	    "that you started from, and you %s it too; run sequoiactl fetch, "
	    "bring your change into the present file and apply again",
	    name, hash_of(&s->files, name)[0] == '\0' ? "removed" : "changed",
	    r == NULL ? "someone" : r->who, when,
	    (unsigned long long)(r == NULL ? s->generation : r->generation),
	    (unsigned long long)a->base,
	    hash_of(a->files, name)[0] == '\0' ? "removed" : "changed");
}

/* Takes one name into the merged set; false on a conflict. */
static bool
merge_name(const struct confstate *s, const struct confstate_apply *a,
    const struct confstate_files *base, const char *name,
    struct confstate_plan *p)
{
	const char *was = hash_of(base, name);
	const char *mine = hash_of(a->files, name);
	const char *now = hash_of(&s->files, name);
	struct confstate_record *r = &p->record;
	struct confstate_change *c;

	if (strcmp(mine, was) == 0 || strcmp(mine, now) == 0)
		return true;
	if (strcmp(now, was) != 0) {
		refuse_file(s, a, name, &p->err);
		return false;
	}
	r->files = xrealloc(r->files, r->n_files + 1, sizeof(*r->files));
	c = &r->files[r->n_files++];
	*c = (struct confstate_change){ .name = copy(name) };
	copy_hash(c->hash, mine);
	copy_hash(c->was, now);
	if (mine[0] == '\0')
		set_hash(&p->files, name, "");
	else
		copy_file(&p->files, find_file(a->files, name));
	return true;
}

static bool
merge(const struct confstate *s, const struct confstate_apply *a,
    struct confstate_plan *p)
{
	struct confstate_files base = { 0 };
	bool ok = true;

	files_at(s, a->base, &base);
	for (size_t i = 0; i < s->files.n; i++)
		copy_file(&p->files, &s->files.v[i]);
	for (size_t i = 0; ok && i < a->files->n; i++)
		ok = merge_name(s, a, &base, a->files->v[i].name, p);
	for (size_t i = 0; ok && i < base.n; i++) {
		if (find_file(a->files, base.v[i].name) == NULL)
			ok = merge_name(s, a, &base, base.v[i].name, p);
	}
	confstate_files_free(&base);
	return ok;
}

static bool
check_base(
    const struct confstate *s, const struct confstate_apply *a, struct err *e)
{
	if (a->base >= s->reach && a->base <= s->generation)
		return true;
	err_set(e, ERR_CONFLICT,
	    "generation %llu that you started from is not among %llu to %llu, "
	    "which are still known; run sequoiactl fetch, bring your change "
	    "into the present files and apply again",
	    (unsigned long long)a->base, (unsigned long long)s->reach,
	    (unsigned long long)s->generation);
	return false;
}

static bool
check_result(const struct confstate *s, struct confstate_plan *p)
{
	struct conf *c = read_conf(&p->files, s->generation + 1, &p->err);

	if (c == NULL)
		return false;
	conf_unref(c);
	return confstate_diff(&s->files, &p->files, &p->record.keys, &p->err) ==
	    0;
}

static void
refuse(const struct confstate *s, struct confstate_plan *p)
{
	p->verdict = p->err.kind == ERR_NOT_READY ? CONFSTATE_UNREADY
						  : CONFSTATE_REFUSED;
	p->record.accepted = false;
	p->record.generation = s->generation;
	p->record.reason = copy(p->err.text);
	confstate_files_free(&p->files);
}

static void
plan_already(const struct confstate_record *r, struct confstate_plan *p)
{
	json_t *j = confstate_record_json(r);

	confstate_record_read(j, &p->record, NULL);
	json_decref(j);
	p->verdict = CONFSTATE_ALREADY;
}

void
confstate_plan(const struct confstate *s, const struct confstate_apply *a,
    struct confstate_plan *p)
{
	const struct confstate_record *known = find_change(s, a->change_id);

	*p = (struct confstate_plan){ 0 };
	if (known != NULL) {
		plan_already(known, p);
		return;
	}
	p->record = (struct confstate_record){
		.generation = s->generation + 1,
		.who = copy(a->who),
		.when = a->when,
		.change_id = copy(a->change_id),
		.accepted = true,
	};
	if (!check_base(s, a, &p->err) || !merge(s, a, p))
		refuse(s, p);
	else if (p->record.n_files == 0)
		p->verdict = CONFSTATE_NOTHING;
	else if (!check_result(s, p))
		refuse(s, p);
	else
		p->verdict = CONFSTATE_MERGED;
}

void
confstate_plan_free(struct confstate_plan *p)
{
	confstate_record_free(&p->record);
	confstate_files_free(&p->files);
}
