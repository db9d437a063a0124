/*
 * Stage kinds encode, retrieve and rerank: calls whose body and answer are one
 * JSON object each.
 */
#include "kernel/answer.h"

static void
build(const struct stage_call *c, struct buf *out)
{
	json_t *o =
	    json_pack("{s:s, s:s, s:s, s:s, s:O}", "call_id", c->call_id,
		"request_id", c->request_id, "pipeline", c->pipeline->name,
		"stage", c->stage->name, "document", c->document);

	answer_dump(o, out);
}

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
	a->document = json_incref(json_object_get(o, "document"));
	json_decref(o);
	return json_is_object(a->document) ? PARSE_DONE : PARSE_BAD;
}

static struct stage_ops encode = { "encode", "/v1/encode", false, build, feed,
	NULL };
static struct stage_ops retrieve = { "retrieve", "/v1/retrieve", false, build,
	feed, NULL };
static struct stage_ops rerank = { "rerank", "/v1/rerank", false, build, feed,
	NULL };
STAGE_REGISTER(encode)
STAGE_REGISTER(retrieve)
STAGE_REGISTER(rerank)
