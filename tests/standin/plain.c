#include "tests/standin/plain.h"

#include <string.h>

static GMutex lock;
/* By service, then by key: {"count", "answer"}. */
static json_t *ledger;
static json_int_t numbers;

static const char *
text_of(const json_t *o, const char *name)
{
	const char *t = json_string_value(json_object_get(o, name));

	return t != NULL ? t : "";
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
	const char *key = text_of(body, "idempotency_key");
	json_t *part, *entry, *answer;
	json_int_t count;

	g_mutex_lock(&lock);
	part = part_of(service);
	entry = json_object_get(part, key);
	count = json_integer_value(json_object_get(entry, "count")) + 1;
	answer =
	    json_pack("{s:s,s:s,s:I,s:I}", "call_id", text_of(body, "call_id"),
		"key", key, "number", ++numbers, "effect", count);
	if (entry == NULL) {
		entry = json_pack("{s:O}", "answer", answer);
		json_object_set_new(part, key, entry);
	}
	json_object_set_new(entry, "count", json_integer(count));
	g_mutex_unlock(&lock);
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
	json_t *a;

	g_mutex_lock(&lock);
	a = json_object_get(json_object_get(part_of(r->conf->service),
				slash != NULL ? slash + 1 : ""),
	    "answer");
	a = a != NULL ? json_deep_copy(a) : NULL;
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

	g_mutex_lock(&lock);
	json_object_foreach(part_of(service), key, entry)
	    json_object_set(out, key, json_object_get(entry, "count"));
	g_mutex_unlock(&lock);
	return out;
}

void
plain_reset(void)
{
	g_mutex_lock(&lock);
	json_decref(ledger);
	ledger = NULL;
	g_mutex_unlock(&lock);
}
