/* Stage kind plain: a call with configured method and path to any service. */
#include "kernel/answer.h"

static void
build(const struct stage_call *c, struct buf *out)
{
	json_t *o = json_pack("{s:s, s:s, s:O}", "call_id", c->call_id,
	    "request_id", c->request_id, "document", c->document);

	if (c->key.n > 0)
		json_object_set_new(
		    o, "idempotency_key", json_stringn(c->key.p, c->key.n));
	answer_dump(o, out);
}

/* Merges the complete answer object under the stage's name. */
static enum parse_state
feed(const struct stage_call *c, struct stage_answer *a, int status, bool end)
{
	json_t *o;
	enum parse_state st;

	if (!end)
		return PARSE_MORE;
	st = answer_object(c, a, status, &o);
	if (st != PARSE_DONE)
		return st;
	json_object_del(o, "call_id");
	json_object_del(o, "load");
	a->document = json_pack("{s:o}", c->stage->name, o);
	return a->document != NULL ? PARSE_DONE : PARSE_BAD;
}

static struct stage_ops plain = { "plain", "/", false, build, feed, NULL };
STAGE_REGISTER(plain)
