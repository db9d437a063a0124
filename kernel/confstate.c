#include "kernel/confstate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

void
confstate_free(struct confstate *s)
{
	conffiles_free(&s->files);
	for (size_t i = 0; i < s->n_history; i++)
		confrecord_free(&s->history[i]);
	free(s->history);
	*s = (struct confstate){ 0 };
}

static void
drop_oldest(struct confstate *s)
{
	if (s->history[0].accepted)
		s->oldest_base = s->history[0].generation;
	confrecord_free(&s->history[0]);
	s->n_history--;
	memmove(s->history, s->history + 1, s->n_history * sizeof(*s->history));
}

static void
append_history(struct confstate *s, struct confrecord r)
{
	if (s->n_history == CONFSTATE_HISTORY)
		drop_oldest(s);
	s->history =
	    xrealloc(s->history, s->n_history + 1, sizeof(*s->history));
	s->history[s->n_history++] = r;
}

static char *
copy_text(const char *c)
{
	return str_dup(str_from(c));
}

static const struct confrecord *
find_change(const struct confstate *s, const char *change_id)
{
	for (size_t i = s->n_history; i > 0; i--) {
		if (strcmp(s->history[i - 1].change_id, change_id) == 0)
			return &s->history[i - 1];
	}
	return NULL;
}

int
confstate_apply_record(struct confstate *s, const json_t *record, struct err *e)
{
	struct confrecord r = { 0 };
	int rc = confrecord_read(record, &r, e);

	if (rc != 0)
		return rc;
	if (r.accepted ? r.generation <= s->generation
		       : r.generation < s->generation ||
		    find_change(s, r.change_id) != NULL) {
		confrecord_free(&r);
		return 1;
	}
	if (r.generation > s->generation + (r.accepted ? 1 : 0)) {
		rc = err_set(e, ERR_NOT_READY,
		    "generation %llu is in force, but the next record is of "
		    "generation %llu; read the missing records from the log or "
		    "a peer",
		    (unsigned long long)s->generation,
		    (unsigned long long)r.generation);
		confrecord_free(&r);
		return rc;
	}
	if (r.accepted) {
		for (size_t i = 0; i < r.n_files; i++)
			conffiles_set(
			    &s->files, r.files[i].name, r.files[i].hash);
		s->generation = r.generation;
	}
	append_history(s, r);
	return 0;
}

json_t *
confstate_snapshot(const struct confstate *s)
{
	json_t *files = json_array();
	json_t *history = json_array();
	uint64_t oldest_base = s->oldest_base;
	size_t from = s->n_history > CONFSTATE_SNAPSHOT_HISTORY
	    ? s->n_history - CONFSTATE_SNAPSHOT_HISTORY
	    : 0;

	for (size_t i = 0; i < from; i++) {
		if (s->history[i].accepted)
			oldest_base = s->history[i].generation;
	}
	for (size_t i = 0; i < s->files.n; i++)
		json_array_append_new(files,
		    json_pack("{s:s,s:s}", "name", s->files.v[i].name, "sha256",
			s->files.v[i].hash));
	for (size_t i = from; i < s->n_history; i++)
		json_array_append_new(
		    history, confrecord_json(&s->history[i], false));
	return json_pack("{s:i,s:I,s:I,s:o,s:o}", "v", CONFRECORD_VERSION,
	    "generation", (json_int_t)s->generation, "reach",
	    (json_int_t)oldest_base, "files", files, "history", history);
}

static bool
restore_files(const json_t *list, struct conffiles *files)
{
	if (!json_is_array(list))
		return false;
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *j = json_array_get(list, i);
		const char *name =
		    json_string_value(json_object_get(j, "name"));
		const json_t *hash = json_object_get(j, "sha256");

		if (name == NULL || json_string_length(hash) != HASH_HEX_LEN)
			return false;
		conffiles_set(files, name, json_string_value(hash));
	}
	return true;
}

static int
restore_history(const json_t *list, struct confstate *fresh, struct err *e)
{
	size_t n = json_array_size(list);

	fresh->history = xcalloc(n + 1, sizeof(*fresh->history));
	for (size_t i = 0; i < n; i++) {
		int rc = confrecord_read(
		    json_array_get(list, i), &fresh->history[i], e);

		if (rc != 0)
			return rc;
		fresh->n_history++;
	}
	return 0;
}

int
confstate_restore(struct confstate *s, const json_t *snapshot, struct err *e)
{
	struct confstate fresh = { 0 };
	int rc =
	    confrecord_check_version(snapshot, "a configuration snapshot", e);

	if (rc != 0)
		return rc;
	fresh.generation = (uint64_t)json_integer_value(
	    json_object_get(snapshot, "generation"));
	fresh.oldest_base =
	    (uint64_t)json_integer_value(json_object_get(snapshot, "reach"));
	if (fresh.generation <= s->generation)
		return 1;
	rc = restore_history(json_object_get(snapshot, "history"), &fresh, e);
	if (rc == 0 &&
	    !restore_files(json_object_get(snapshot, "files"), &fresh.files))
		rc = err_set(e, ERR_CONFIG,
		    "a configuration snapshot has a format that this build "
		    "can't read; " CONFRECORD_REMEDY);
	if (rc != 0) {
		confstate_free(&fresh);
		return rc;
	}
	for (size_t i = 0; i < s->files.n; i++) {
		if (s->files.v[i].has_body)
			confstate_set_body(&fresh, s->files.v[i].hash,
			    str_of(&s->files.v[i].body));
	}
	confstate_free(s);
	*s = fresh;
	return 0;
}

bool
confstate_set_body(struct confstate *s, const char *hash, struct str body)
{
	char body_hash[HASH_HEX_LEN + 1];

	hash_sha256(body, body_hash);
	if (strcmp(body_hash, hash) != 0)
		return false;
	for (size_t i = 0; i < s->files.n; i++) {
		struct conffile *x = &s->files.v[i];

		if (!x->has_body && strcmp(x->hash, hash) == 0)
			conffile_set_body(x, body);
	}
	return true;
}

const struct conffile *
confstate_missing_body(const struct confstate *s)
{
	return conffiles_missing_body(&s->files);
}

struct conf *
confstate_conf(const struct confstate *s, struct err *e)
{
	return conffiles_conf(&s->files, s->generation, e);
}

/* Reconstructs the names and hashes of an older generation. */
static void
files_at(const struct confstate *s, uint64_t base, struct conffiles *out)
{
	for (size_t i = 0; i < s->files.n; i++)
		conffiles_copy(out, &s->files.v[i]);
	for (size_t i = s->n_history; i > 0; i--) {
		const struct confrecord *r = &s->history[i - 1];

		if (!r->accepted || r->generation <= base)
			continue;
		for (size_t j = 0; j < r->n_files; j++)
			conffiles_set(
			    out, r->files[j].name, r->files[j].old_hash);
	}
}

static const struct confrecord *
last_change(const struct confstate *s, const char *name)
{
	for (size_t i = s->n_history; i > 0; i--) {
		const struct confrecord *r = &s->history[i - 1];

		for (size_t j = 0; r->accepted && j < r->n_files; j++) {
			if (strcmp(r->files[j].name, name) == 0)
				return r;
		}
	}
	return NULL;
}

static void
format_time(char *out, size_t n, usec_t when)
{
	time_t t = (time_t)(when / USEC_PER_SEC);
	struct tm tm;

	gmtime_r(&t, &tm);
	strftime(out, n, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

static void
report_conflict(const struct confstate *s, const struct confstate_proposal *a,
    const char *name, struct err *e)
{
	const struct confrecord *r = last_change(s, name);
	char when[32] = "an unknown time";

	if (r != NULL)
		format_time(when, sizeof(when), r->when);
	err_set(e, ERR_CONFLICT,
	    "%s was %s by %s at %s (generation %llu) after generation %llu "
	    "that you started from, and you %s it too; run sequoiactl pull, "
	    "bring your change into the present file and apply again",
	    name,
	    conffiles_hash(&s->files, name)[0] == '\0' ? "removed" : "changed",
	    r == NULL ? "someone" : r->who, when,
	    (unsigned long long)(r == NULL ? s->generation : r->generation),
	    (unsigned long long)a->base,
	    conffiles_hash(a->files, name)[0] == '\0' ? "removed" : "changed");
}

/* Merges one file into the plan; false on a conflict. */
static bool
merge_file(const struct confstate *s, const struct confstate_proposal *a,
    const struct conffiles *base, const char *name, struct confstate_plan *p)
{
	const char *base_hash = conffiles_hash(base, name);
	const char *new_hash = conffiles_hash(a->files, name);
	const char *current_hash = conffiles_hash(&s->files, name);
	struct confrecord *r = &p->record;
	struct confchange *c;

	if (strcmp(new_hash, base_hash) == 0 ||
	    strcmp(new_hash, current_hash) == 0)
		return true;
	if (strcmp(current_hash, base_hash) != 0) {
		report_conflict(s, a, name, &p->err);
		return false;
	}
	r->files = xrealloc(r->files, r->n_files + 1, sizeof(*r->files));
	c = &r->files[r->n_files++];
	*c = (struct confchange){ .name = str_dup(str_from(name)) };
	snprintf(c->hash, sizeof(c->hash), "%s", new_hash);
	snprintf(c->old_hash, sizeof(c->old_hash), "%s", current_hash);
	if (new_hash[0] == '\0')
		conffiles_set(&p->files, name, "");
	else
		conffiles_copy(&p->files, conffiles_find(a->files, name));
	return true;
}

static bool
merge(const struct confstate *s, const struct confstate_proposal *a,
    struct confstate_plan *p)
{
	struct conffiles base = { 0 };
	bool ok = true;

	files_at(s, a->base, &base);
	for (size_t i = 0; i < s->files.n; i++)
		conffiles_copy(&p->files, &s->files.v[i]);
	for (size_t i = 0; ok && i < a->files->n; i++)
		ok = merge_file(s, a, &base, a->files->v[i].name, p);
	for (size_t i = 0; ok && i < base.n; i++) {
		if (conffiles_find(a->files, base.v[i].name) == NULL)
			ok = merge_file(s, a, &base, base.v[i].name, p);
	}
	conffiles_free(&base);
	return ok;
}

static bool
check_base(const struct confstate *s, const struct confstate_proposal *a,
    struct err *e)
{
	if (a->base >= s->oldest_base && a->base <= s->generation)
		return true;
	err_set(e, ERR_CONFLICT,
	    "generation %llu that you started from is not among %llu to %llu, "
	    "which are still known; run sequoiactl pull, bring your change "
	    "into the present files and apply again",
	    (unsigned long long)a->base, (unsigned long long)s->oldest_base,
	    (unsigned long long)s->generation);
	return false;
}

static bool
check_result(const struct confstate *s, struct confstate_plan *p)
{
	struct conf *c;

	if (p->record.n_files == 0)
		return true;
	c = conffiles_conf(&p->files, s->generation + 1, &p->err);
	if (c == NULL)
		return false;
	conf_unref(c);
	return conffiles_diff(&s->files, &p->files, &p->record.keys, &p->err) ==
	    0;
}

static void
refuse(const struct confstate *s, struct confstate_plan *p)
{
	p->result = p->err.kind == ERR_NOT_READY ? CONFSTATE_NOT_READY
						 : CONFSTATE_REFUSED;
	p->record.accepted = false;
	p->record.generation = s->generation;
	p->record.reason = copy_text(p->err.text);
	conffiles_free(&p->files);
}

static void
plan_duplicate(const struct confrecord *r, struct confstate_plan *p)
{
	json_t *j = confrecord_json(r, true);

	confrecord_read(j, &p->record, NULL);
	json_decref(j);
	p->result = CONFSTATE_DUPLICATE;
}

void
confstate_plan(const struct confstate *s, const struct confstate_proposal *a,
    struct confstate_plan *p)
{
	const struct confrecord *earlier = find_change(s, a->change_id);

	*p = (struct confstate_plan){ 0 };
	if (earlier != NULL) {
		plan_duplicate(earlier, p);
		return;
	}
	p->record = (struct confrecord){
		.generation = s->generation + 1,
		.who = copy_text(a->who),
		.when = a->when,
		.change_id = copy_text(a->change_id),
		.accepted = true,
	};
	if (!check_base(s, a, &p->err) || !merge(s, a, p) ||
	    !check_result(s, p))
		refuse(s, p);
	else
		p->result = p->record.n_files > 0 ? CONFSTATE_MERGED
						  : CONFSTATE_UNCHANGED;
}

void
confstate_plan_free(struct confstate_plan *p)
{
	confrecord_free(&p->record);
	conffiles_free(&p->files);
}
