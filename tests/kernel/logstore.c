#include "tests/kernel/logstore.h"

#include <string.h>

#define VALUE_MAX ((size_t)1 << 20)

static void
value_free(gpointer p)
{
	struct logvalue *v = p;

	g_string_free(v->text, TRUE);
	g_free(v);
}

void
logstore_init(struct logstore *s)
{
	*s = (struct logstore){ .keys = g_hash_table_new_full(g_str_hash,
				    g_str_equal, g_free, value_free) };
}

void
logstore_put(struct logstore *s, const char *key, struct str text)
{
	struct logvalue *v = g_new0(struct logvalue, 1);

	v->revision = ++s->revision;
	v->text = g_string_new_len(text.p, (gssize)text.n);
	s->written += text.n;
	g_hash_table_replace(s->keys, g_strdup(key), v);
}

const struct logvalue *
logstore_get(const struct logstore *s, const char *key)
{
	return g_hash_table_lookup(s->keys, key);
}

struct alog_response
logstore_do(struct logstore *s, const struct alog_request *r)
{
	const struct logvalue *v = logstore_get(s, r->key);
	struct alog_response resp = { .id = r->id, .status = ALOG_OK };

	s->calls++;
	switch (r->kind) {
	case ALOG_GET:
		if (v == NULL) {
			resp.status = ALOG_MISSING;
			return resp;
		}
		resp.revision = v->revision;
		resp.value = (struct str){ v->text->str, v->text->len };
		return resp;
	case ALOG_SWAP:
	case ALOG_CREATE:
		if ((v != NULL ? v->revision : 0) != r->revision) {
			resp.status = ALOG_CONFLICT;
			return resp;
		}
		g_assert_cmpuint(r->value.n, <, VALUE_MAX);
		logstore_put(s, r->key, str_of(&r->value));
		resp.revision = s->revision;
		return resp;
	case ALOG_DELETE:
		/*
		 * A log deletes only its segments, LOG/NAME, and never a head.
		 */
		g_assert_nonnull(strchr(r->key, '/'));
		s->deletes++;
		g_hash_table_remove(s->keys, r->key);
		return resp;
	}
	return resp;
}

void
logstore_free(struct logstore *s)
{
	g_hash_table_destroy(s->keys);
}
