/* The JSON forms of records and snapshots. */
#include "kernel/confstate.h"

#include <stdlib.h>
#include <string.h>

#define REMEDY \
	"the generation in force stays; bring this host to the fleet's build"

static json_t *
text_or_null(const char *c)
{
	return c == NULL ? json_null() : json_string(c);
}

static char *
text_of(const json_t *j, const char *key)
{
	const char *c = json_string_value(json_object_get(j, key));

	return c == NULL ? NULL : str_dup(str_from(c));
}

/* A hash in hex, or null for none. */
static bool
read_hash(const json_t *j, const char *key, char out[HASH_HEX_LEN + 1])
{
	const json_t *v = json_object_get(j, key);

	out[0] = '\0';
	if (json_is_null(v))
		return true;
	if (json_string_length(v) != HASH_HEX_LEN)
		return false;
	memcpy(out, json_string_value(v), HASH_HEX_LEN + 1);
	return true;
}

static json_t *
hash_json(const char *hash)
{
	return hash[0] == '\0' ? json_null() : json_string(hash);
}

static json_t *
record_json(const struct confstate_record *r, bool with_keys)
{
	json_t *files = json_array();
	json_t *keys = json_array();

	for (size_t i = 0; i < r->n_files; i++)
		json_array_append_new(files,
		    json_pack("{s:s,s:o,s:o}", "name", r->files[i].name,
			"sha256", hash_json(r->files[i].hash), "was",
			hash_json(r->files[i].was)));
	for (size_t i = 0; with_keys && i < r->keys.n; i++) {
		const struct confstate_key *k = &r->keys.v[i];

		json_array_append_new(keys,
		    json_pack("{s:s,s:s,s:o,s:o}", "section", k->section, "key",
			k->key, "old", text_or_null(k->before), "new",
			text_or_null(k->after)));
	}
	return json_pack("{s:i,s:I,s:s,s:I,s:s,s:s,s:o,s:o,s:o}", "v",
	    CONFSTATE_VERSION, "generation", (json_int_t)r->generation, "who",
	    r->who, "when", (json_int_t)r->when, "change", r->change_id,
	    "result", r->accepted ? "accepted" : "refused", "reason",
	    text_or_null(r->reason), "files", files, "keys", keys);
}

json_t *
confstate_record_json(const struct confstate_record *r)
{
	return record_json(r, true);
}

static bool
read_files(const json_t *list, struct confstate_record *r)
{
	size_t n = json_array_size(list);

	if (!json_is_array(list))
		return false;
	r->files = xcalloc(n + 1, sizeof(*r->files));
	for (size_t i = 0; i < n; i++) {
		const json_t *j = json_array_get(list, i);
		struct confstate_change *c = &r->files[r->n_files];

		c->name = text_of(j, "name");
		if (c->name == NULL)
			return false;
		r->n_files++;
		if (!read_hash(j, "sha256", c->hash) ||
		    !read_hash(j, "was", c->was))
			return false;
	}
	return true;
}

static bool
read_keys(const json_t *list, struct confstate_keys *keys)
{
	size_t n = json_array_size(list);

	if (!json_is_array(list))
		return false;
	keys->v = xcalloc(n + 1, sizeof(*keys->v));
	for (size_t i = 0; i < n; i++) {
		const json_t *j = json_array_get(list, i);
		struct confstate_key *k = &keys->v[keys->n++];

		k->section = text_of(j, "section");
		k->key = text_of(j, "key");
		k->before = text_of(j, "old");
		k->after = text_of(j, "new");
		if (k->section == NULL || k->key == NULL)
			return false;
	}
	return true;
}

static bool
read_fields(const json_t *j, struct confstate_record *r)
{
	const char *result = json_string_value(json_object_get(j, "result"));
	json_int_t generation =
	    json_integer_value(json_object_get(j, "generation"));

	r->who = text_of(j, "who");
	r->change_id = text_of(j, "change");
	r->reason = text_of(j, "reason");
	r->when = json_integer_value(json_object_get(j, "when"));
	r->generation = (uint64_t)generation;
	if (r->who == NULL || r->change_id == NULL || result == NULL ||
	    generation < 0)
		return false;
	r->accepted = strcmp(result, "accepted") == 0;
	return r->accepted || strcmp(result, "refused") == 0;
}

static int
check_version(const json_t *j, const char *what, struct err *e)
{
	const json_t *v = json_object_get(j, "v");

	if (json_is_integer(v) && json_integer_value(v) == CONFSTATE_VERSION)
		return 0;
	return err_set(e, ERR_CONFIG,
	    "%s of version %lld, and this build reads version %d; " REMEDY,
	    what, (long long)json_integer_value(v), CONFSTATE_VERSION);
}

int
confstate_record_read(
    const json_t *j, struct confstate_record *r, struct err *e)
{
	int rc = check_version(j, "a configuration record", e);

	*r = (struct confstate_record){ 0 };
	if (rc != 0)
		return rc;
	if (read_fields(j, r) && read_files(json_object_get(j, "files"), r) &&
	    read_keys(json_object_get(j, "keys"), &r->keys))
		return 0;
	confstate_record_free(r);
	return err_set(e, ERR_CONFIG,
	    "a configuration record of a form that this build can't "
	    "read; " REMEDY);
}

void
confstate_record_free(struct confstate_record *r)
{
	free(r->who);
	free(r->change_id);
	free(r->reason);
	for (size_t i = 0; i < r->n_files; i++)
		free(r->files[i].name);
	free(r->files);
	confstate_keys_free(&r->keys);
	*r = (struct confstate_record){ 0 };
}

json_t *
confstate_snapshot(const struct confstate *s)
{
	json_t *files = json_array();
	json_t *history = json_array();
	uint64_t reach = s->reach;
	size_t from = s->n_history > CONFSTATE_SNAPSHOT_HISTORY
	    ? s->n_history - CONFSTATE_SNAPSHOT_HISTORY
	    : 0;

	for (size_t i = 0; i < from; i++) {
		if (s->history[i]->accepted)
			reach = s->history[i]->generation;
	}
	for (size_t i = 0; i < s->files.n; i++)
		json_array_append_new(files,
		    json_pack("{s:s,s:s}", "name", s->files.v[i].name, "sha256",
			s->files.v[i].hash));
	for (size_t i = from; i < s->n_history; i++)
		json_array_append_new(
		    history, record_json(s->history[i], false));
	return json_pack("{s:i,s:I,s:I,s:o,s:o}", "v", CONFSTATE_VERSION,
	    "generation", (json_int_t)s->generation, "reach", (json_int_t)reach,
	    "files", files, "history", history);
}

static bool
restore_files(const json_t *list, struct confstate *fresh)
{
	bool ok = json_is_array(list);

	fresh->files.v =
	    xcalloc(json_array_size(list) + 1, sizeof(*fresh->files.v));
	for (size_t i = 0; ok && i < json_array_size(list); i++) {
		const json_t *j = json_array_get(list, i);
		struct confstate_file *x = &fresh->files.v[fresh->files.n];

		x->name = text_of(j, "name");
		if (x->name == NULL)
			return false;
		fresh->files.n++;
		ok = read_hash(j, "sha256", x->hash) && x->hash[0] != '\0' &&
		    (i == 0 || strcmp(x[-1].name, x->name) < 0);
	}
	return ok;
}

static int
restore_history(const json_t *list, struct confstate *fresh, struct err *e)
{
	size_t n = json_array_size(list);

	fresh->history = xcalloc(n + 1, sizeof(*fresh->history));
	for (size_t i = 0; i < n; i++) {
		struct confstate_record *r = xcalloc(1, sizeof(*r));
		int rc = confstate_record_read(json_array_get(list, i), r, e);

		if (rc != 0) {
			free(r);
			return rc;
		}
		fresh->history[fresh->n_history++] = r;
	}
	return 0;
}

void
confstate_free(struct confstate *s)
{
	confstate_files_free(&s->files);
	for (size_t i = 0; i < s->n_history; i++) {
		confstate_record_free(s->history[i]);
		free(s->history[i]);
	}
	free(s->history);
	*s = (struct confstate){ 0 };
}

int
confstate_restore(struct confstate *s, const json_t *snapshot, struct err *e)
{
	struct confstate fresh = { 0 };
	int rc = check_version(snapshot, "a configuration snapshot", e);

	if (rc != 0)
		return rc;
	fresh.generation = (uint64_t)json_integer_value(
	    json_object_get(snapshot, "generation"));
	fresh.reach =
	    (uint64_t)json_integer_value(json_object_get(snapshot, "reach"));
	if (fresh.generation <= s->generation)
		return 1;
	rc = restore_history(json_object_get(snapshot, "history"), &fresh, e);
	if (rc == 0 &&
	    !restore_files(json_object_get(snapshot, "files"), &fresh))
		rc = err_set(e, ERR_CONFIG,
		    "a configuration snapshot of a form that this build can't "
		    "read; " REMEDY);
	if (rc != 0) {
		confstate_free(&fresh);
		return rc;
	}
	for (size_t i = 0; i < s->files.n; i++) {
		if (s->files.v[i].cached)
			confstate_body(&fresh, s->files.v[i].hash,
			    str_of(&s->files.v[i].body));
	}
	confstate_free(s);
	*s = fresh;
	return 0;
}
