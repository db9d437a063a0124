#include "kernel/answer.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

static int
write_out(const char *p, size_t n, void *arg)
{
	buf_put(arg, (struct str){ p, n });
	return 0;
}

static void
put_value(const json_t *v, struct buf *out)
{
	if (json_is_string(v)) {
		buf_put(out,
		    (struct str){
			json_string_value(v), json_string_length(v) });
		return;
	}
	json_dump_callback(
	    v, write_out, out, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
}

void
answer_dump(json_t *o, struct buf *out)
{
	json_dump_callback(o, write_out, out, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(o);
}

void
answer_prompt(
    const struct conf_stage *s, const json_t *document, struct buf *out)
{
	for (size_t i = 0; i < s->prompt.n; i++) {
		const json_t *v = json_object_get(document, s->prompt.v[i]);

		if (v == NULL)
			continue;
		put_value(v, out);
		buf_putc(out, '\n');
	}
}

void
answer_salt(const struct conf_workspace *w, struct buf *out)
{
	if (*w->salt != '\0')
		buf_printf(out, "salt:%s", w->salt);
	else
		buf_printf(out, "workspace:%s", w->name);
}

int
answer_count(const json_t *v)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < 0)
		return -1;
	return n < INT_MAX ? (int)n : INT_MAX;
}

enum parse_state
answer_status(struct stage_answer *a, int status)
{
	json_t *o;
	const char *error;
	enum parse_state st = PARSE_BAD;

	if (status != 503)
		return PARSE_BAD;
	o = json_loadb(a->body.p, a->body.n, 0, NULL);
	error = json_string_value(json_object_get(o, "error"));
	if (error != NULL && strcmp(error, "leaving") == 0) {
		a->leaving = true;
		st = PARSE_REFUSED;
	}
	if (error != NULL && strcmp(error, "not ready") == 0) {
		a->not_ready = true;
		st = PARSE_REFUSED;
	}
	if (error != NULL && strcmp(error, "busy") == 0)
		st = PARSE_REFUSED;
	json_decref(o);
	return st;
}

enum parse_state
answer_object(const struct stage_call *c, struct stage_answer *a, int status,
    json_t **out)
{
	const char *id;
	json_t *o;

	if (status < 200 || status > 299)
		return answer_status(a, status);
	o = json_loadb(a->body.p, a->body.n, 0, NULL);
	if (!json_is_object(o)) {
		json_decref(o);
		return PARSE_BAD;
	}
	id = json_string_value(json_object_get(o, "call_id"));
	if (id != NULL && c->call_id != NULL && strcmp(id, c->call_id) != 0) {
		json_decref(o);
		return PARSE_OTHER_CALL;
	}
	a->load = answer_count(json_object_get(o, "load"));
	*out = o;
	return PARSE_DONE;
}

void
answer_free(struct stage_answer *a)
{
	buf_free(&a->body);
	buf_free(&a->text);
	json_decref(a->document);
	*a = (struct stage_answer){ .load = -1 };
}
