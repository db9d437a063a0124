#include "tests/standin/stage.h"

#include <string.h>

#include "base/hash.h"

#define N_EMBEDDING 4U
#define N_PASSAGES  6
#define N_BEST      3U

static GMutex lock;
/* The plain services' effects by service, then by key: {"count", "answer"}. */
static json_t *ledger;
static json_int_t numbers;

static json_t *
encode(const json_t *document)
{
	struct str text = str_from(web_text(document, "text"));
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
	const char *text = web_text(document, "text");
	const char *marker = web_text(document, "marker");
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
stage_work(struct runner *r, const json_t *body)
{
	const json_t *document = json_object_get(body, "document");
	json_t *out;

	web_sleep(runner_slowed(r, r->conf->latency));
	if (r->conf->kind == KIND_ENCODE)
		out = encode(document);
	else if (r->conf->kind == KIND_RETRIEVE)
		out = retrieve(document);
	else
		out = rerank(document);
	return json_pack(
	    "{s:s,s:o}", "call_id", web_text(body, "call_id"), "document", out);
}

void
stage_call(struct runner *r, struct mg_connection *c,
    const struct mg_request_info *ri, const json_t *body)
{
	static const char *const paths[] = { [KIND_ENCODE] = "/v1/encode",
		[KIND_RETRIEVE] = "/v1/retrieve",
		[KIND_RERANK] = "/v1/rerank" };
	usec_t began;
	json_t *a;

	if (strcmp(paths[r->conf->kind], ri->local_uri) != 0) {
		web_error(c, 404, "no such call");
		return;
	}
	if (!runner_enter(r, c))
		return;
	began = clock_now();
	a = stage_work(r, body);
	runner_leave(r, began);
	json_object_set_new(a, "load", json_integer(runner_load(r)));
	runner_answer(r, c, a);
}

/* The service's part of the ledger, with the lock held; borrowed. */
static json_t *
part_of(const char *service)
{
	json_t *part;

	if (ledger == NULL)
		ledger = json_object();
	part = json_object_get(ledger, service);
	if (part == NULL) {
		part = json_object();
		json_object_set_new(ledger, service, part);
	}
	return part;
}

/* Makes the effect and gives the answer to it. */
static json_t *
make_effect(const char *service, const json_t *body)
{
	const char *key = web_text(body, "idempotency_key");
	json_t *part, *entry, *answer;
	json_int_t count;
	HOLD(&lock);

	part = part_of(service);
	entry = json_object_get(part, key);
	count = json_integer_value(json_object_get(entry, "count")) + 1;
	answer =
	    json_pack("{s:s,s:s,s:I,s:I}", "call_id", web_text(body, "call_id"),
		"key", key, "number", ++numbers, "effect", count);
	if (entry == NULL) {
		entry = json_pack("{s:O}", "answer", answer);
		json_object_set_new(part, key, entry);
	}
	json_object_set_new(entry, "count", json_integer(count));
	return answer;
}

void
plain_call(struct runner *r, struct mg_connection *c, const json_t *body)
{
	usec_t began, half;
	json_t *a;

	if (!runner_enter(r, c))
		return;
	began = clock_now();
	half = runner_slowed(r, r->conf->latency) / 2;
	web_sleep(half);
	a = make_effect(r->conf->service, body);
	web_sleep(half);
	runner_leave(r, began);
	runner_answer(r, c, a);
}

void
plain_lookup(
    struct runner *r, struct mg_connection *c, const struct mg_request_info *ri)
{
	const char *slash = strrchr(ri->local_uri, '/');
	const char *key = slash != NULL ? slash + 1 : "";
	json_t *entry, *a;

	g_mutex_lock(&lock);
	entry = json_object_get(part_of(r->conf->service), key);
	a = json_deep_copy(json_object_get(entry, "answer"));
	g_mutex_unlock(&lock);
	if (a != NULL)
		web_json(c, 200, a);
	else
		web_error(c, 404, "no effect with this key");
}

json_t *
plain_effects(const char *service)
{
	json_t *out = json_object(), *entry;
	const char *key;
	HOLD(&lock);

	json_object_foreach(part_of(service), key, entry)
	    json_object_set(out, key, json_object_get(entry, "count"));
	return out;
}

void
plain_reset(void)
{
	HOLD(&lock);

	json_decref(ledger);
	ledger = NULL;
}
