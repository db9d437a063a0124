#include "tests/standin/stage.h"

#include <string.h>

#include "base/hash.h"

#define N_EMBEDDING 4U
#define N_PASSAGES  6
#define N_RERANKED  3U

static GMutex lock;
/*
 * The effects of plain services by service, then by idempotency key:
 * {"count", "answer"}.
 */
static json_t *effects;
static json_int_t last_number;

static json_t *
encode(const json_t *document)
{
	struct str text = str_from(web_json_text(document, "text"));
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
	const char *text = web_json_text(document, "text");
	const char *marker = web_json_text(document, "marker");
	const char *label = marker[0] != '\0' ? " marker=" : "";
	json_t *list = json_array();
	int i;

	for (i = 0; i < N_PASSAGES; i++)
		json_array_append_new(list,
		    json_pack("{s:o,s:o}", "id", json_sprintf("p%d", i), "text",
			json_sprintf(
			    "passage %d of %s%s%s", i, text, label, marker)));
	return json_pack("{s:o}", "passages", list);
}

static json_t *
rerank(const json_t *document)
{
	const json_t *all = json_object_get(document, "passages");
	json_t *best = json_array();
	size_t i, n = json_array_size(all);

	/* Reverses the order, so that the result shows the reranking. */
	for (i = 0; i < N_RERANKED && i < n; i++)
		json_array_append(best, json_array_get(all, n - 1 - i));
	return json_pack("{s:o}", "passages", best);
}

/* Returns the service's effects, borrowed; the caller holds the lock. */
static json_t *
effects_of(const char *service)
{
	if (effects == NULL)
		effects = json_object();
	if (json_object_get(effects, service) == NULL)
		json_object_set_new(effects, service, json_object());
	return json_object_get(effects, service);
}

/* Counts an effect and returns the answer to the call. */
static json_t *
record_effect(const char *service, const json_t *body)
{
	const char *key = web_json_text(body, "idempotency_key");
	json_t *of_service, *entry, *answer;
	json_int_t count;
	SCOPED_LOCK(&lock);

	of_service = effects_of(service);
	entry = json_object_get(of_service, key);
	count = json_integer_value(json_object_get(entry, "count")) + 1;
	answer = json_pack("{s:s,s:s,s:I,s:I}", "call_id",
	    web_json_text(body, "call_id"), "key", key, "number", ++last_number,
	    "effect", count);
	if (entry == NULL) {
		entry = json_pack("{s:O}", "answer", answer);
		json_object_set_new(of_service, key, entry);
	}
	json_object_set_new(entry, "count", json_integer(count));
	return answer;
}

static const struct {
	const char *path; /* NULL: any path */
	json_t *(*run)(const json_t *document);
} kind_ops[] = {
	[KIND_ENCODE] = { "/v1/encode", encode },
	[KIND_RETRIEVE] = { "/v1/retrieve", retrieve },
	[KIND_RERANK] = { "/v1/rerank", rerank },
	[KIND_PLAIN] = { NULL, NULL },
};

static json_t *
do_work(const struct sim_target *t, const json_t *body)
{
	if (t->conf->kind == KIND_PLAIN)
		return record_effect(t->conf->service, body);
	return json_pack("{s:s,s:o}", "call_id", web_json_text(body, "call_id"),
	    "document",
	    kind_ops[t->conf->kind].run(json_object_get(body, "document")));
}

void
stage_call(struct sim_target *t, struct mg_connection *c,
    const struct mg_request_info *ri, const json_t *body)
{
	const char *path = kind_ops[t->conf->kind].path;
	usec_t began, half;
	json_t *answer;

	if (path != NULL && strcmp(path, ri->local_uri) != 0) {
		web_send_error(c, 404, "no such call");
		return;
	}
	if (!target_begin_call(t, c))
		return;
	began = clock_now();
	half = target_duration(t, t->conf->latency, 0) / 2;
	web_sleep(half);
	answer = do_work(t, body);
	web_sleep(half);
	target_end_call(t, began);
	if (t->conf->kind != KIND_PLAIN)
		json_object_set_new(
		    answer, "load", json_integer(target_reported_load(t)));
	target_send_answer(t, c, answer);
}

void
stage_lookup(struct sim_target *t, struct mg_connection *c,
    const struct mg_request_info *ri)
{
	const char *slash = strrchr(ri->local_uri, '/');
	const char *key = slash != NULL ? slash + 1 : "";
	json_t *entry, *answer;
	SCOPED_LOCK(&lock);

	entry = json_object_get(effects_of(t->conf->service), key);
	answer = json_object_get(entry, "answer");
	if (answer != NULL)
		web_send_json(c, 200, json_incref(answer));
	else
		web_send_error(c, 404, "no effect with this key");
}

json_t *
stage_effects(const struct mg_request_info *ri)
{
	struct web_param service = web_query(ri, "service");
	json_t *out = json_object(), *entry;
	const char *key;
	SCOPED_LOCK(&lock);

	json_object_foreach(effects_of(service.s), key, entry)
	    json_object_set(out, key, json_object_get(entry, "count"));
	return out;
}
