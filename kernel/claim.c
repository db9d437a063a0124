#include "kernel/claim.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>

#define MAX_HEX 16

static const char *const step_names[] = {
	[CLAIM_STEP_CLAIM] = "claim",
	[CLAIM_STEP_REFUSE] = "refuse",
	[CLAIM_STEP_SETTLE] = "settle",
};

static void
set_str(json_t *o, const char *key, struct str s)
{
	json_object_set_new(o, key, json_stringn(s.n > 0 ? s.p : "", s.n));
}

static void
set_hex(json_t *o, const char *key, uint64_t v)
{
	json_object_set_new(o, key, json_sprintf("%" PRIx64, v));
}

json_t *
claim_pack(const struct claim *cl)
{
	json_t *o = json_object();

	json_object_set_new(o, "do", json_string(step_names[cl->step]));
	set_str(o, "ws", cl->workspace);
	set_str(o, "pl", cl->pipeline);
	set_str(o, "key", cl->key);
	json_object_set_new(o, "try", json_integer(cl->attempt));
	set_hex(o, "body", cl->body_hash);
	set_hex(o, "by", cl->holder);
	set_str(o, "rq", cl->request_id);
	if (cl->step != CLAIM_STEP_SETTLE)
		return o;
	json_object_set_new(o, "out", json_string(outcome_name(cl->outcome)));
	if (cl->answer.n > 0 && cl->answer.n <= MAX_CLAIM_ANSWER_BYTES)
		set_str(o, "ans", cl->answer);
	return o;
}

static struct str
get_str(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	return (struct str){ json_string_value(v), json_string_length(v) };
}

static bool
get_hex(const json_t *o, const char *key, uint64_t *out)
{
	struct str s = get_str(o, key);
	char *end;

	if (s.n == 0 || s.n > MAX_HEX)
		return false;
	*out = strtoull(s.p, &end, 16);
	return *end == '\0';
}

/* Sets *out to the index among n names of the string at key; false if none. */
static bool
get_word(const json_t *o, const char *key, const char *(*name)(unsigned),
    unsigned n, unsigned *out)
{
	struct str s = get_str(o, key);

	for (*out = 0; *out < n; (*out)++) {
		if (str_eq(s, str_from(name(*out))))
			return true;
	}
	return false;
}

static const char *
step_word(unsigned i)
{
	return step_names[i];
}

static const char *
outcome_word(unsigned i)
{
	return outcome_name((enum outcome)i);
}

bool
claim_unpack(const json_t *payload, struct claim *cl)
{
	json_int_t attempt =
	    json_integer_value(json_object_get(payload, "try"));
	unsigned word;

	*cl = (struct claim){ 0 };
	if (!get_word(
		payload, "do", step_word, G_N_ELEMENTS(step_names), &word))
		return false;
	cl->step = (enum claim_step)word;
	cl->workspace = get_str(payload, "ws");
	cl->pipeline = get_str(payload, "pl");
	cl->key = get_str(payload, "key");
	cl->request_id = get_str(payload, "rq");
	if (attempt < 1 || attempt > UINT32_MAX ||
	    !get_hex(payload, "body", &cl->body_hash) ||
	    !get_hex(payload, "by", &cl->holder))
		return false;
	cl->attempt = (uint32_t)attempt;
	if (cl->step != CLAIM_STEP_SETTLE)
		return true;
	cl->answer = get_str(payload, "ans");
	if (!get_word(payload, "out", outcome_word, OUTCOME_UNKNOWN + 1, &word))
		return false;
	cl->outcome = (enum outcome)word;
	return true;
}
