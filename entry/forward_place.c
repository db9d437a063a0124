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
#include <string.h>

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

/* Chooses the domain whose placer is asked. */
static void
choose_domain(struct relay_request *r)
{
	struct loads_query query;

	forward_query(r, &query);
	placements_domain(r->shared->placements,
	    &(struct placements_prompt){
		.service = r->service->name,
		.home = loads_home_domain(&r->shared->loads, &query),
		.prefix = query.shared_tokens > 0 ? query.prefix : 0,
		.random = hash_u64(r->info.id, DOMAIN_SEED),
	    },
	    r->placement_domain);
}

static bool ask(struct relay_request *r);

/*
 * The engines of a domain can't serve the request in time: it goes to another
 * domain, or back to its caller.
 */
static void
on_full(struct relay_request *r, usec_t wait)
{
	char full[sizeof(r->placement_domain)];

	r->placement = 0;
	g_strlcpy(full, r->placement_domain, sizeof(full));
	if (!r->placed_elsewhere) {
		r->placed_elsewhere = true;
		choose_domain(r);
		if (strcmp(full, r->placement_domain) != 0 && ask(r))
			return;
	}
	if (r->may_have_run) {
		forward_send_here(r);
		return;
	}
	log_text(LOG_LVL_INFO, "placement-full",
	    "request %.*s: in %s a place in %" PRId64 " ms",
	    STR_FMT(r->info.id), *full != '\0' ? full : "all domains",
	    wait / USEC_PER_MSEC);
	relay_request_reject(r,
	    &(struct rejection){ ERR_NO_TIME,
		retry_after(wait, hash_u64(r->info.id, 0)),
		"no target can begin to answer in time" });
}

static void
on_placed(void *arg, const struct placement_result *result)
{
	struct relay_request *r = arg;

	r->placed = result->placed;
	relay_histogram_add(&r->shared->counts.placing, result->placed.waited);
	switch (result->verdict) {
	case PLACEMENT_SEND:
		forward_send_placed(r, result->target);
		break;
	case PLACEMENT_FULL:
		on_full(r, result->wait);
		break;
	case PLACEMENT_NONE:
		r->placement = 0;
		forward_send_here(r);
		break;
	}
}

/* Asks the placer of the domain that was chosen; false if there is none. */
static bool
ask(struct relay_request *r)
{
	struct placement_request q;
	struct loads_query query;

	forward_query(r, &query);
	fill_request(r, &query, &q);
	r->placement = placements_ask(r->shared->placements,
	    &(struct placement_call_opts){
		.service = r->service->name,
		.domain = r->placement_domain,
		.request = &q,
		.handler = on_placed,
		.arg = r,
	    },
	    &r->placed.cause);
	return r->placement != 0;
}

bool
forward_is_placed(const struct relay_request *r)
{
	return r->service->has_engine &&
	    placements_in_force(r->shared->placements) && !r->way_lost &&
	    !forward_goes_on(r);
}

struct placements_view
forward_peek_place(struct relay_request *r)
{
	if (!forward_is_placed(r))
		return (struct placements_view){ .cause = PLACEMENT_NOT_ASKED };
	choose_domain(r);
	return placements_peek(r->shared->placements, r->service->name,
	    r->placement_domain, r->deadline);
}

bool
forward_place(struct relay_request *r)
{
	r->placed = (struct placed){ .cause = PLACEMENT_NOT_ASKED };
	if (!forward_is_placed(r))
		return false;
	r->placed_elsewhere = false;
	choose_domain(r);
	return ask(r);
}

void
forward_place_sent(struct relay_request *r, const struct target_load *t)
{
	struct placements *p = r->shared->placements;
	struct placement_request q;
	struct loads_query query;
	char domain[ENGINE_GROUP_NAME_BYTES];

	if (!r->service->has_engine || !placements_in_force(p))
		return;
	placements_count(p, r->placed.cause);
	if (r->placement != 0)
		return; /* the placer knows */
	forward_query(r, &query);
	fill_request(r, &query, &q);
	placements_target_domain(p, t, domain);
	r->placement = placements_sent(p,
	    &(struct placement_call_opts){
		.service = r->service->name,
		.domain = domain,
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
