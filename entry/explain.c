#include "entry/explain.h"
#include "entry/relay_request.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Of a head that is explained while no configuration is known. */
#define HEAD_LIMIT 65536

static json_t *
ms(usec_t t)
{
	return json_integer(t / USEC_PER_MSEC);
}

/* Bytes of a caller, which need not be UTF-8. */
static json_t *
text(struct str s)
{
	json_t *o = s.p != NULL ? json_stringn(s.p, s.n) : json_null();

	return o != NULL ? o : json_string("(not UTF-8)");
}

/* Null for an empty text. */
static json_t *
name(const char *s)
{
	return *s != '\0' ? text(str_from(s)) : json_null();
}

static const char *
kind_name(enum route_kind k)
{
	switch (k) {
	case ROUTE_IDEMPOTENT:
		return "idempotent";
	case ROUTE_ONCE:
		return "once";
	case ROUTE_STREAM:
		return "stream";
	}
	return "";
}

static const char *
verdict_name(enum chain_verdict v)
{
	switch (v) {
	case CHAIN_FITS:
		return "fits";
	case CHAIN_NO_TIME:
		return "no-time";
	case CHAIN_EXPIRES:
		return "expires";
	}
	return "";
}

static json_t *
rejection_json(const struct rejection *why)
{
	return json_pack("{s:s, s:i, s:s, s:s, s:o}", "error",
	    err_name(why->kind), "status", err_status(why->kind), "cause",
	    why->cause, "remedy", err_remedy(why->kind), "retry_after_ms",
	    why->retry_after > 0 ? ms(why->retry_after) : json_null());
}

static json_t *
route_json(const struct route *r)
{
	return json_pack("{s:o, s:s, s:b, s:i, s:o, s:o, s:I}", "name",
	    name(r->name), "kind", kind_name(r->kind), "repeatable",
	    route_repeatable(r), "rank", r->rank, "objective_ms",
	    ms(r->objective), "timeout_ms", ms(r->timeout), "attempts",
	    (json_int_t)r->attempts);
}

static json_t *
stage_json(
    const struct relay_request *r, const struct stages_view *v, uint32_t i)
{
	const struct stage_view *s = &v->stages[i];
	const struct chain_stage *c = &v->chain.stages[i];
	const struct service *service =
	    routes_service_at(r->routes, r->route->stages[i].service);
	uint32_t pieces = i < r->info.n_pieces ? r->info.pieces[i] : 0;

	if (!s->needed)
		return json_pack("{s:o, s:I}", "service", name(service->name),
		    "pieces", (json_int_t)0);
	return json_pack("{s:o, s:I, s:b, s:o, s:o, s:o, s:o, s:o}", "service",
	    name(service->name), "pieces", (json_int_t)pieces, "starts",
	    s->starts, "domain", name(s->domain), "coordinator",
	    name(s->coordinator), "wait_ms", ms(s->wait), "min_ms",
	    ms(c->min_time), "typical_ms", ms(c->typical_time));
}

static json_t *
target_json(const struct loads_option *o)
{
	const struct target_load *t = o->target;

	return json_pack(
	    "{s:o, s:o, s:o, s:o, s:s, s:o, s:I, s:I, s:o, s:f, s:f}", "id",
	    name(t->entry.id), "address", name(t->entry.addr), "failure_domain",
	    name(t->entry.domain), "version", name(t->entry.version), "state",
	    loads_bar_name(o->bar), "free_in_ms",
	    o->free_in > 0 ? ms(o->free_in) : json_null(), "in_flight",
	    (json_int_t)t->in_flight, "reported", (json_int_t)t->reported,
	    "report_age_ms",
	    o->report_age >= 0 ? ms(o->report_age) : json_null(), "load",
	    o->active, "cost_ms", o->cost);
}

static json_t *
placement_json(const struct relay_request *r, const struct placements_view *v)
{
	return json_pack("{s:s, s:s, s:o, s:b, s:o}", "by",
	    v->cause == PLACEMENT_BY_PLACER ? "placer" : "host", "cause",
	    placement_cause_name(v->cause), "domain", name(r->placement_domain),
	    "own_placer", v->is_self, "placer", name(v->host));
}

/* Adds the stages and their verdict; returns whether they would start. */
static bool
add_stages(json_t *out, const struct relay_request *r, struct rejection *why)
{
	struct stages_view v;
	bool fits = stages_peek(r, &v, why);
	json_t *list = json_array();

	for (uint32_t i = 0; i < v.chain.n; i++)
		json_array_append_new(list, stage_json(r, &v, i));
	json_object_set_new(out, "stages", list);
	json_object_set_new(out, "chain",
	    json_pack("{s:s, s:o}", "verdict", verdict_name(v.verdict),
		"excess_ms", ms(v.excess)));
	return fits;
}

/* Adds the targets and which of them it would be; false: none takes it. */
static bool
add_targets(json_t *out, struct relay_request *r, struct rejection *why,
    struct placements_view *place)
{
	usec_t now = clock_now();
	struct loads_query query;
	const struct target_load *t = forward_peek(r, &query, why, now);
	g_autoptr(GArray) options =
	    loads_explain(&r->shared->loads, &query, now);
	json_t *list = json_array();

	for (guint i = 0; i < options->len; i++)
		json_array_append_new(list,
		    target_json(
			&g_array_index(options, struct loads_option, i)));
	json_object_set_new(out, "service", name(r->service->name));
	json_object_set_new(out, "targets", list);
	json_object_set_new(
	    out, "choice", t != NULL ? name(t->entry.id) : json_null());
	if (t == NULL) {
		stages_limit_retry(r, why);
		json_object_set_new(
		    out, "choice_rejection", rejection_json(why));
	}
	*place = forward_peek_place(r);
	json_object_set_new(out, "placement", placement_json(r, place));
	return t != NULL;
}

/* Explains a request that is taken. */
static void
explain_taken(json_t *out, struct relay_request *r)
{
	struct placements_view place;
	struct rejection unsent = { ERR_OK, 0, "" };
	struct rejection why = { ERR_OK, 0, "" };
	bool fits = add_stages(out, r, &why);
	bool has_target = add_targets(out, r, &unsent, &place);

	if (!fits) {
		stages_limit_retry(r, &why);
		json_object_set_new(out, "rejection", rejection_json(&why));
		json_object_set_new(out, "next", json_string("rejected"));
	} else if (!stages_are_done(r)) {
		json_object_set_new(out, "next", json_string("stages"));
	} else if (place.cause == PLACEMENT_BY_PLACER) {
		json_object_set_new(out, "next", json_string("placer"));
	} else if (has_target) {
		json_object_set_new(out, "next", json_string("target"));
	} else {
		json_object_set_new(out, "rejection", rejection_json(&unsent));
		json_object_set_new(out, "next", json_string("rejected"));
	}
}

static json_t *
explain(struct relay_shared *s, struct routes *routes, const struct httpmsg *m)
{
	struct rejection why = { ERR_OK, 0, "" };
	struct relay_request *r = NULL;
	struct admission a = { 0 };
	bool taken = relay_request_admit(s, routes, m, &a, &why);
	json_t *out =
	    json_pack("{s:o, s:o, s:o, s:o}", "id", text(a.info.id), "host",
		text(a.info.host), "path", text(httpmsg_url(m)), "generation",
		routes != NULL ? json_integer((json_int_t)routes->version)
			       : json_null());

	if (a.route != NULL)
		json_object_set_new(out, "route", route_json(a.route));
	if (a.caller_key != NULL)
		json_object_set_new(out, "workspace", name(a.caller_key->name));
	if (!taken) {
		json_object_set_new(out, "rejection", rejection_json(&why));
		json_object_set_new(out, "next", json_string("rejected"));
		return out;
	}
	r = xcalloc(1, sizeof(*r));
	relay_request_init(r,
	    &(struct relay_request_opts){
		.shared = s,
		.arrived = clock_now(),
		.info = &a.info,
		.routes = routes,
		.route = a.route,
		.caller_key = a.caller_key,
		.parts = &a.parts,
	    });
	json_object_set_new(out, "rank", json_integer(r->rank));
	/* Other hosts would have to be asked where its stream began. */
	json_object_set_new(out, "resumes",
	    json_boolean(a.info.is_resume && a.route->kind == ROUTE_STREAM));
	explain_taken(out, r);
	routes_unref(r->routes);
	free(r);
	return out;
}

static void
put_json(struct buf *out, json_t *o)
{
	char *s = json_dumps(o, JSON_COMPACT);

	buf_put(out, str_from(s));
	free(s);
	json_decref(o);
}

int
explain_serve(struct relay_shared *s, struct routes *routes,
    const struct httpmsg *q, struct buf *out)
{
	struct evbuffer *head = evbuffer_new();
	size_t n = evbuffer_get_length(q->body);
	struct httpmsg m;
	int status = 200;

	httpmsg_init(
	    &m, HTTP_REQUEST, routes != NULL ? routes->head_bytes : HEAD_LIMIT);
	evbuffer_add(head, evbuffer_pullup(q->body, -1), n);
	httpmsg_feed(&m, head);
	if (q->parser.method != HTTP_POST) {
		status = 405;
		put_json(out,
		    json_pack("{s:s}", "detail",
			"post the head of the request to explain"));
	} else if (m.state == HTTPMSG_BODY || m.state == HTTPMSG_DONE) {
		put_json(out, explain(s, routes, &m));
	} else {
		status = 400;
		put_json(out,
		    json_pack("{s:s}", "detail",
			m.head_too_large
			    ? "the head of the request is too large"
			    : m.state == HTTPMSG_HEAD
			    ? "the head of the request is incomplete: it ends "
			      "with an empty line"
			    : "the head of the request is malformed"));
	}
	evbuffer_free(head);
	httpmsg_free(&m);
	return status;
}
