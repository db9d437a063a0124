#include "kernel/alog_doc.h"

#include <string.h>

static uint64_t
get_u64(const json_t *o, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(o, key));
}

static bool
is_natural(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	return json_is_integer(v) && json_integer_value(v) >= 0;
}

static bool
is_record(const json_t *r)
{
	return is_natural(r, "s") && is_natural(r, "n") && is_natural(r, "t") &&
	    json_is_string(json_object_get(r, "w")) &&
	    json_is_object(json_object_get(r, "p"));
}

/* Whether the document's records are well formed and their serials dense. */
static bool
has_records(const json_t *doc)
{
	const json_t *l = json_object_get(doc, "newest");
	uint64_t expected = 0;

	if (!json_is_array(l))
		return false;
	for (size_t i = 0; i < json_array_size(l); i++) {
		const json_t *r = json_array_get(l, i);

		if (!is_record(r) || (i > 0 && get_u64(r, "s") != expected))
			return false;
		expected = get_u64(r, "s") + 1;
	}
	return true;
}

/* Whether the listed segments are dense and end just before newest. */
static bool
has_segments(const json_t *head)
{
	const json_t *l = json_object_get(head, "segments");
	uint64_t expected = alog_doc_first(head);

	if (!json_is_array(l))
		return false;
	for (size_t i = 0; i < json_array_size(l); i++) {
		const json_t *s = json_array_get(l, i);

		if (!json_is_string(json_object_get(s, "name")) ||
		    !is_natural(s, "first") || !is_natural(s, "last") ||
		    !is_natural(s, "time") || get_u64(s, "first") != expected ||
		    get_u64(s, "last") < expected)
			return false;
		expected = get_u64(s, "last") + 1;
	}
	return expected == alog_doc_newest_first(head);
}

static bool
is_head(const json_t *head)
{
	const json_t *snapshot = json_object_get(head, "snapshot");
	size_t n;

	if (!is_natural(head, "serial") || !is_natural(head, "first") ||
	    !has_records(head))
		return false;
	n = alog_doc_count(head);
	if (n > 0 &&
	    alog_doc_record(head, n - 1).serial != alog_doc_serial(head))
		return false;
	if (snapshot != NULL &&
	    (!is_natural(snapshot, "serial") ||
		json_object_get(snapshot, "state") == NULL))
		return false;
	return has_segments(head);
}

static json_t *
read_doc(struct str value, bool (*check)(const json_t *), struct err *e)
{
	json_error_t at;
	json_t *doc = json_loadb(value.p, value.n, 0, &at);
	json_int_t v;

	if (doc == NULL) {
		err_set(e, ERR_KV, "log: not JSON: %s", at.text);
		return NULL;
	}
	v = json_integer_value(json_object_get(doc, "version"));
	if (v != ALOG_DOC_VERSION)
		err_set(e, ERR_KV,
		    "log: version %lld can't be read by this build, which "
		    "reads %d",
		    (long long)v, ALOG_DOC_VERSION);
	else if (!check(doc))
		err_set(e, ERR_KV, "log: fields are missing or wrong");
	else
		return doc;
	json_decref(doc);
	return NULL;
}

json_t *
alog_doc_empty(void)
{
	return json_pack("{s:i, s:i, s:i, s:[], s:[]}", "version",
	    ALOG_DOC_VERSION, "serial", 0, "first", 1, "newest", "segments");
}

json_t *
alog_doc_read_head(struct str value, struct err *e)
{
	return read_doc(value, is_head, e);
}

json_t *
alog_doc_read_segment(struct str value, struct err *e)
{
	return read_doc(value, has_records, e);
}

uint64_t
alog_doc_serial(const json_t *head)
{
	return get_u64(head, "serial");
}

uint64_t
alog_doc_first(const json_t *head)
{
	return get_u64(head, "first");
}

usec_t
alog_doc_dropped_before(const json_t *head)
{
	return (usec_t)get_u64(head, "from");
}

uint64_t
alog_doc_newest_first(const json_t *head)
{
	if (alog_doc_count(head) == 0)
		return alog_doc_serial(head) + 1;
	return alog_doc_record(head, 0).serial;
}

size_t
alog_doc_newest_bytes(const json_t *head)
{
	return json_dumpb(
	    json_object_get(head, "newest"), NULL, 0, JSON_COMPACT);
}

size_t
alog_doc_segments_bytes(const json_t *head)
{
	return json_dumpb(
	    json_object_get(head, "segments"), NULL, 0, JSON_COMPACT);
}

const json_t *
alog_doc_snapshot(const json_t *head, uint64_t *serial)
{
	const json_t *snapshot = json_object_get(head, "snapshot");

	if (snapshot == NULL)
		return NULL;
	*serial = get_u64(snapshot, "serial");
	return json_object_get(snapshot, "state");
}

const char *
alog_doc_find_segment(const json_t *head, uint64_t serial)
{
	const json_t *l = json_object_get(head, "segments");

	for (size_t i = 0; i < json_array_size(l); i++) {
		const json_t *s = json_array_get(l, i);

		if (serial >= get_u64(s, "first") &&
		    serial <= get_u64(s, "last"))
			return json_string_value(json_object_get(s, "name"));
	}
	return NULL;
}

size_t
alog_doc_count(const json_t *doc)
{
	return json_array_size(json_object_get(doc, "newest"));
}

struct alog_record
alog_doc_record(const json_t *doc, size_t i)
{
	const json_t *r = json_array_get(json_object_get(doc, "newest"), i);

	return (struct alog_record){
		.serial = get_u64(r, "s"),
		.writer = json_string_value(json_object_get(r, "w")),
		.swap = get_u64(r, "n"),
		.time = (usec_t)get_u64(r, "t"),
		.payload = json_object_get(r, "p"),
	};
}

json_t *
alog_doc_copy(const json_t *head)
{
	static const char *const list_keys[] = { "newest", "segments" };
	json_t *copy = json_copy((json_t *)head);

	for (size_t i = 0; i < sizeof(list_keys) / sizeof(list_keys[0]); i++)
		json_object_set_new(copy, list_keys[i],
		    json_copy(json_object_get(head, list_keys[i])));
	return copy;
}

void
alog_doc_append(json_t *head, const char *writer, uint64_t swap, usec_t time,
    json_t *payload)
{
	json_int_t serial = (json_int_t)alog_doc_serial(head) + 1;

	json_array_append_new(json_object_get(head, "newest"),
	    json_pack("{s:I, s:s, s:I, s:I, s:O}", "s", serial, "w", writer,
		"n", (json_int_t)swap, "t", (json_int_t)time, "p", payload));
	json_object_set_new(head, "serial", json_integer(serial));
}

json_t *
alog_doc_segment(const json_t *head)
{
	return json_pack("{s:i, s:O}", "version", ALOG_DOC_VERSION, "newest",
	    json_object_get(head, "newest"));
}

json_t *
alog_doc_segment_entry(const json_t *head, const char *name)
{
	usec_t last_time = 0;

	for (size_t i = 0; i < alog_doc_count(head); i++) {
		struct alog_record r = alog_doc_record(head, i);

		if (r.time > last_time)
			last_time = r.time;
	}
	return json_pack("{s:s, s:I, s:I, s:I}", "name", name, "first",
	    (json_int_t)alog_doc_newest_first(head), "last",
	    (json_int_t)alog_doc_serial(head), "time", (json_int_t)last_time);
}

bool
alog_doc_has_segment(const json_t *head, const json_t *entry)
{
	const char *name = alog_doc_find_segment(head, get_u64(entry, "first"));

	return name != NULL &&
	    strcmp(name, json_string_value(json_object_get(entry, "name"))) ==
	    0;
}

bool
alog_doc_can_seal(const json_t *head, const json_t *entry)
{
	return alog_doc_newest_first(head) == get_u64(entry, "first") &&
	    alog_doc_serial(head) >= get_u64(entry, "last");
}

void
alog_doc_seal(json_t *head, json_t *entry)
{
	json_t *newest = json_object_get(head, "newest");
	uint64_t last = get_u64(entry, "last");

	while (json_array_size(newest) > 0 &&
	    get_u64(json_array_get(newest, 0), "s") <= last)
		json_array_remove(newest, 0);
	json_array_append(json_object_get(head, "segments"), entry);
}

void
alog_doc_set_snapshot(json_t *head, json_t *state)
{
	json_object_set_new(head, "snapshot",
	    json_pack("{s:I, s:o}", "serial", (json_int_t)alog_doc_serial(head),
		"state", state));
}

json_t *
alog_doc_expire(json_t *head, usec_t keep_from)
{
	json_t *l = json_object_get(head, "segments");
	json_t *names = json_array();

	while (json_array_size(l) > 0) {
		json_t *s = json_array_get(l, 0);

		if ((usec_t)get_u64(s, "time") >= keep_from)
			break;
		json_array_append(names, json_object_get(s, "name"));
		json_object_set_new(head, "first",
		    json_integer((json_int_t)get_u64(s, "last") + 1));
		json_array_remove(l, 0);
	}
	if (json_array_size(names) > 0 &&
	    keep_from > alog_doc_dropped_before(head))
		json_object_set_new(head, "from", json_integer(keep_from));
	return names;
}
