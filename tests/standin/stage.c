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

/* The service's part of the ledger, with the lock held; borrowed. */
static json_t *
part_of(const char *service)
{
	if (ledger == NULL)
		ledger = json_object();
	if (json_object_get(ledger, service) == NULL)
		json_object_set_new(ledger, service, json_object());
	return json_object_get(ledger, service);
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

static const struct {
	const char *path; /* NULL: any */
	json_t *(*run)(const json_t *document);
} kinds[] = {
	[KIND_ENCODE] = { "/v1/encode", encode },
	[KIND_RETRIEVE] = { "/v1/retrieve", retrieve },
	[KIND_RERANK] = { "/v1/rerank", rerank },
	[KIND_PLAIN] = { NULL, NULL },
};

static json_t *
work(const struct runner *r, const json_t *body)
{
	if (r->conf->kind == KIND_PLAIN)
		return make_effect(r->conf->service, body);
	return json_pack("{s:s,s:o}", "call_id", web_text(body, "call_id"),
	    "document",
	    kinds[r->conf->kind].run(json_object_get(body, "document")));
}

void
stage_call(struct runner *r, struct mg_connection *c,
    const struct mg_request_info *ri, const json_t *body)
{
	const char *path = kinds[r->conf->kind].path;
	usec_t began, half;
	json_t *a;

	if (path != NULL && strcmp(path, ri->local_uri) != 0) {
		web_error(c, 404, "no such call");
		return;
	}
	if (!runner_enter(r, c))
		return;
	began = clock_now();
	half = runner_time(r, r->conf->latency, 0) / 2;
	web_sleep(half);
	a = work(r, body);
	web_sleep(half);
	runner_leave(r, began);
	if (r->conf->kind != KIND_PLAIN)
		json_object_set_new(a, "load", json_integer(runner_load(r)));
	runner_answer(r, c, a);
}

void
stage_lookup(
    struct runner *r, struct mg_connection *c, const struct mg_request_info *ri)
{
	const char *slash = strrchr(ri->local_uri, '/');
	const char *key = slash != NULL ? slash + 1 : "";
	json_t *entry, *a;
	HOLD(&lock);

	entry = json_object_get(part_of(r->conf->service), key);
	a = json_object_get(entry, "answer");
	if (a != NULL)
		web_json(c, 200, json_incref(a));
	else
		web_error(c, 404, "no effect with this key");
}

json_t *
stage_effects(const struct mg_request_info *ri)
{
	struct web_word service = web_query(ri, "service");
	json_t *out = json_object(), *entry;
	const char *key;
	HOLD(&lock);

	json_object_foreach(part_of(service.s), key, entry)
	    json_object_set(out, key, json_object_get(entry, "count"));
	return out;
}
