#include "kernel/confrecord.h"

#include <stdlib.h>
#include <string.h>

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

/* Reads a hash in hex; null is read as an empty hash. */
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

json_t *
confrecord_json(const struct confrecord *r, bool with_keys)
{
	json_t *files = json_array();
	json_t *keys = json_array();

	for (size_t i = 0; i < r->n_files; i++)
		json_array_append_new(files,
		    json_pack("{s:s,s:o,s:o}", "name", r->files[i].name,
			"sha256", hash_json(r->files[i].hash), "was",
			hash_json(r->files[i].old_hash)));
	for (size_t i = 0; with_keys && i < r->keys.n; i++) {
		const struct confdiff_key *k = &r->keys.v[i];

		json_array_append_new(keys,
		    json_pack("{s:s,s:s,s:o,s:o}", "section", k->section, "key",
			k->key, "old", text_or_null(k->before), "new",
			text_or_null(k->after)));
	}
	return json_pack("{s:i,s:I,s:s,s:I,s:s,s:s,s:o,s:o,s:o}", "v",
	    CONFRECORD_VERSION, "generation", (json_int_t)r->generation, "who",
	    r->who, "when", (json_int_t)r->when, "change", r->change_id,
	    "result", r->accepted ? "accepted" : "refused", "reason",
	    text_or_null(r->reason), "files", files, "keys", keys);
}

static bool
read_files(const json_t *list, struct confrecord *r)
{
	size_t n = json_array_size(list);

	if (!json_is_array(list))
		return false;
	r->files = xcalloc(n + 1, sizeof(*r->files));
	for (size_t i = 0; i < n; i++) {
		const json_t *j = json_array_get(list, i);
		struct confchange *c = &r->files[r->n_files];

		c->name = text_of(j, "name");
		if (c->name == NULL)
			return false;
		r->n_files++;
		if (!read_hash(j, "sha256", c->hash) ||
		    !read_hash(j, "was", c->old_hash))
			return false;
	}
	return true;
}

static bool
read_keys(const json_t *list, struct confdiff *keys)
{
	size_t n = json_array_size(list);

	if (!json_is_array(list))
		return false;
	keys->v = xcalloc(n + 1, sizeof(*keys->v));
	for (size_t i = 0; i < n; i++) {
		const json_t *j = json_array_get(list, i);
		struct confdiff_key *k = &keys->v[keys->n++];

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
read_fields(const json_t *j, struct confrecord *r)
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

int
confrecord_check_version(const json_t *j, const char *what, struct err *e)
{
	const json_t *v = json_object_get(j, "v");

	if (json_is_integer(v) && json_integer_value(v) == CONFRECORD_VERSION)
		return 0;
	return err_set(e, ERR_CONFIG,
	    "%s of version %lld can't be read by this build, which reads "
	    "version %d; " CONFRECORD_REMEDY,
	    what, (long long)json_integer_value(v), CONFRECORD_VERSION);
}

int
confrecord_read(const json_t *j, struct confrecord *r, struct err *e)
{
	int rc = confrecord_check_version(j, "a configuration record", e);

	*r = (struct confrecord){ 0 };
	if (rc != 0)
		return rc;
	if (read_fields(j, r) && read_files(json_object_get(j, "files"), r) &&
	    read_keys(json_object_get(j, "keys"), &r->keys))
		return 0;
	confrecord_free(r);
	return err_set(e, ERR_CONFIG,
	    "a configuration record has a format that this build can't "
	    "read; " CONFRECORD_REMEDY);
}

void
confrecord_free(struct confrecord *r)
{
	free(r->who);
	free(r->change_id);
	free(r->reason);
	for (size_t i = 0; i < r->n_files; i++)
		free(r->files[i].name);
	free(r->files);
	confdiff_free(&r->keys);
	*r = (struct confrecord){ 0 };
}
