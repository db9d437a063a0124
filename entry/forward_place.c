/*
 * Has a request's target decided by the placer of its service, and tells the
 * placer what becomes of the call.
 */
#include "entry/forward_state.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/overload/retry_after.h"

#include <inttypes.h>
#include <stdio.h>

#define DOMAIN_SEED 31

/* Describes the request to the placer. */
static void
fill_request(const struct relay_request *r, const struct loads_query *query,
    struct placement_request *q)
{
	const struct request_info *info = &r->info;

	*q = (struct placement_request){
		.n_parts = MIN(info->n_parts, PLACEMENT_MAX_PARTS),
		.prompt_tokens = info->prompt_tokens,
		.output_tokens = info->output_tokens,
		.rank = r->rank > 0 ? (uint32_t)r->rank : 0,
		.aim = r->soft_deadline,
		.deadline = r->deadline,
		.max_gap = r->route->max_event_gap,
		.input_bytes = query->input_bytes,
		.n_tried = query->n_tried,
	};
	for (size_t i = 0; i < q->n_parts; i++)
		q->parts[i] = (struct placement_part){ info->parts[i].hash,
			info->parts[i].tokens };
	snprintf(
	    q->version, sizeof(q->version), "%.*s", STR_FMT(query->version));
	if (query->input_addr.n > 0)
		g_strlcpy(q->input_domain,
		    loads_domain_at(&r->shared->loads, query->input_addr),
		    sizeof(q->input_domain));
	for (size_t i = 0; i < q->n_tried; i++)
		snprintf(q->tried[i], sizeof(q->tried[i]), "%.*s",
		    STR_FMT(query->tried[i]));
}

static void
carry_out(struct relay_request *r, const struct placement_result *result)
{
	switch (result->verdict) {
	case PLACEMENT_SEND:
		forward_send_placed(r, result->target);
		return;
	case PLACEMENT_FULL:
		r->placement = 0;
		if (r->may_have_run)
			break;
		log_text(LOG_LVL_INFO, "placement-full",
		    "request %.*s: a place in %" PRId64 " ms",
		    STR_FMT(r->info.id), result->wait / USEC_PER_MSEC);
		relay_request_reject(r,
		    &(struct rejection){ ERR_NO_TIME,
			retry_after(result->wait, hash_u64(r->info.id, 0)),
			"no target can begin to answer in time" });
		return;
	case PLACEMENT_NONE:
		r->placement = 0;
		break;
	}
	forward_send_here(r);
}

static void
on_placed(void *arg, const struct placement_result *result)
{
	struct relay_request *r = arg;

	r->placed = result->placed;
	relay_histogram_add(&r->shared->counts.placing, result->placed.waited);
	carry_out(r, result);
}

bool
forward_place(struct relay_request *r)
{
	struct placements *p = r->shared->placements;
	struct placement_request q;
	struct loads_query query;

	r->placed = (struct placed){ .cause = PLACEMENT_NOT_ASKED };
	if (!r->service->has_engine || !placements_in_force(p) || r->way_lost ||
	    forward_goes_on(r))
		return false;
	forward_query(r, &query);
	fill_request(r, &query, &q);
	r->placement = placements_ask(p,
	    &(struct placement_call_opts){
		.service = r->service->name,
		.domain = placements_domain(p, r->service->name,
		    loads_home_domain(&r->shared->loads, &query),
		    hash_u64(r->info.id, DOMAIN_SEED)),
		.request = &q,
		.handler = on_placed,
		.arg = r,
	    },
	    &r->placed.cause);
	return r->placement != 0;
}

void
forward_place_sent(struct relay_request *r, const struct target_load *t)
{
	struct placements *p = r->shared->placements;
	struct placement_request q;
	struct loads_query query;

	if (!r->service->has_engine || !placements_in_force(p))
		return;
	placements_count(p, r->placed.cause);
	if (r->placement != 0)
		return; /* the placer knows */
	forward_query(r, &query);
	fill_request(r, &query, &q);
	r->placement = placements_sent(p,
	    &(struct placement_call_opts){
		.service = r->service->name,
		.domain =
		    loads_domains(&r->shared->loads, r->service->name) != NULL
		    ? t->entry.domain
		    : "",
		.request = &q,
	    },
	    t->entry.id);
}

void
forward_place_begun(struct relay_request *r)
{
	placements_begun(r->shared->placements, r->placement);
}

void
forward_place_ended(struct relay_request *r, bool healthy)
{
	enum placement_end end = PLACEMENT_DROPPED;

	if (!healthy)
		end = PLACEMENT_LOST;
	else if (r->executed)
		end = PLACEMENT_READ;
	placements_ended(r->shared->placements, r->placement, end);
	r->placement = 0;
}
