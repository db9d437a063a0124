#include "tests/standin/stage.h"

#include <string.h>

#include "base/hash.h"

#define N_EMBEDDING 4U
#define N_PASSAGES  6
#define N_BEST      3U

static const char *
text_of(const json_t *document, const char *key)
{
	const char *t = json_string_value(json_object_get(document, key));

	return t != NULL ? t : "";
}

static json_t *
encode(const json_t *document)
{
	struct str text = str_from(text_of(document, "text"));
	json_t *list = json_array();
	unsigned i;

	for (i = 0; i < N_EMBEDDING; i++)
		json_array_append_new(list,
		    json_real((double)(hash_u64(text, i) % 1000) / 1000.0));
	return json_pack("{s:o}", "embedding", list);
}

static json_t *
retrieve(const json_t *document)
{
	const char *text = text_of(document, "text");
	const char *marker = text_of(document, "marker");
	const char *sign = marker[0] != '\0' ? " marker=" : "";
	json_t *list = json_array();
	int i;

	for (i = 0; i < N_PASSAGES; i++)
		json_array_append_new(list,
		    json_pack("{s:o,s:o}", "id", json_sprintf("p%d", i), "text",
			json_sprintf(
			    "passage %d of %s%s%s", i, text, sign, marker)));
	return json_pack("{s:o}", "passages", list);
}

static json_t *
rerank(const json_t *document)
{
	const json_t *all = json_object_get(document, "passages");
	json_t *best = json_array();
	size_t i, n = json_array_size(all);

	/* The order of ids turned round, so that a rerank can be seen. */
	for (i = 0; i < N_BEST && i < n; i++)
		json_array_append(best, json_array_get(all, n - 1 - i));
	return json_pack("{s:o}", "passages", best);
}

static json_t *
document_of(enum target_kind kind, const json_t *document)
{
	if (kind == KIND_ENCODE)
		return encode(document);
	if (kind == KIND_RETRIEVE)
		return retrieve(document);
	return rerank(document);
}

static bool
path_is_right(enum target_kind kind, const char *path)
{
	static const char *const paths[] = { [KIND_ENCODE] = "/v1/encode",
		[KIND_RETRIEVE] = "/v1/retrieve",
		[KIND_RERANK] = "/v1/rerank" };

	return strcmp(paths[kind], path) == 0;
}

void
stage_call(struct runner *r, struct mg_connection *c,
    const struct mg_request_info *ri, const json_t *body)
{
	const json_t *document = json_object_get(body, "document");
	usec_t began;
	json_t *a;

	if (!path_is_right(r->conf->kind, ri->local_uri)) {
		web_error(c, 404, "no such call");
		return;
	}
	if (!runner_enter(r, c))
		return;
	began = clock_now();
	web_sleep(runner_slowed(r, r->conf->latency));
	a = json_pack("{s:s,s:o}", "call_id", text_of(body, "call_id"),
	    "document", document_of(r->conf->kind, document));
	runner_leave(r, began);
	json_object_set_new(a, "load", json_integer(runner_load(r)));
	runner_answer(r, c, a);
}
