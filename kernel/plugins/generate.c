/* Stage kind generate: a streamed completion from a model engine. */
#include "kernel/answer.h"

#include <string.h>

static void
build(const struct stage_call *c, struct buf *out)
{
	struct buf prompt = { 0 };
	struct buf salt = { 0 };
	json_t *o;

	answer_salt(c->workspace, &salt);
	answer_prompt(c->stage, c->document, &prompt);
	o = json_pack("{s:s, s:s%, s:i, s:b, s:i, s:s, s:s}", "model",
	    c->stage->service->model, "prompt",
	    prompt.p != NULL ? prompt.p : "", prompt.n, "max_tokens",
	    (int)c->stage->max_tokens, "stream", 1, "priority",
	    (int)c->priority, "cache_salt", salt.p, "request_id", c->call_id);
	if (c->resumed_tokens > 0)
		json_object_set_new(o, "resume",
		    json_pack("{s:i, s:s%}", "tokens", (int)c->resumed_tokens,
			"text", c->resumed.p, c->resumed.n));
	answer_dump(o, out);
	buf_free(&prompt);
	buf_free(&salt);
}

/* Returns a count of tokens; 0 if there is none. */
static uint32_t
tokens(const json_t *o, const char *key)
{
	int n = answer_count(json_object_get(o, key));

	return n > 0 ? (uint32_t)n : 0;
}

/* Reads the token counts and the load, which the last event carries. */
static void
take_usage(struct stage_answer *a, json_t *event)
{
	json_t *usage = json_object_get(event, "usage");
	int load = answer_count(json_object_get(event, "load"));

	if (usage != NULL) {
		a->prompt_tokens = tokens(usage, "prompt_tokens");
		a->cached_tokens = tokens(usage, "cached_tokens");
	}
	if (load >= 0)
		a->load = load;
}

static void
finish(const struct stage_call *c, struct stage_answer *a)
{
	struct buf full = { 0 };

	buf_put(&full, c->resumed);
	buf_put(&full, str_of(&a->text));
	a->document = json_pack(
	    "{s:s%}", c->stage->output, full.p != NULL ? full.p : "", full.n);
	buf_free(&full);
}

static enum parse_state
take_event(const struct stage_call *c, struct stage_answer *a, struct str data)
{
	json_t *event = json_loadb(data.p, data.n, 0, NULL);
	const char *id = json_string_value(json_object_get(event, "id"));
	json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
	json_t *text = json_object_get(choice, "text");
	enum parse_state st = PARSE_MORE;

	if (event == NULL || choice == NULL || id == NULL) {
		st = PARSE_BAD;
		goto out;
	}
	if (strcmp(id, c->call_id) != 0) {
		st = PARSE_OTHER_CALL;
		goto out;
	}
	if (json_string_length(text) > 0) {
		buf_put(&a->text,
		    (struct str){
			json_string_value(text), json_string_length(text) });
		a->tokens++;
	}
	take_usage(a, event);
	if (json_is_string(json_object_get(choice, "finish_reason"))) {
		finish(c, a);
		st = a->document != NULL ? PARSE_DONE : PARSE_BAD;
	}
out:
	json_decref(event);
	return st;
}

static enum parse_state
feed(const struct stage_call *c, struct stage_answer *a, int status, bool end)
{
	enum parse_state st = PARSE_MORE;
	struct str rest = str_of(&a->body);
	struct str line;
	size_t used = 0;

	if (status != 200)
		return end ? answer_status(a, status) : PARSE_MORE;
	while (st == PARSE_MORE && rest.n > 0 &&
	    memchr(rest.p, '\n', rest.n) != NULL) {
		str_cut(&rest, '\n', &line);
		used += line.n + 1;
		line = str_trim(line);
		if (str_has_prefix(line, STR("data:"))) {
			line.p += 5;
			line.n -= 5;
			line = str_trim(line);
			if (!str_eq(line, STR("[DONE]")))
				st = take_event(c, a, line);
		}
	}
	buf_drop(&a->body, used);
	if (st == PARSE_MORE && end)
		return PARSE_BAD;
	return st;
}

static struct stage_ops generate = { "generate", "/v1/completions", true, build,
	feed, NULL };
STAGE_REGISTER(generate)
