/*
 * Imitation of the targets' work, by kind: encode, retrieve and rerank; plain
 * services, whose effects are counted by idempotency key; and model engines,
 * which stream tokens, have a prefix cache and take orders.
 */
#ifndef STANDIN_STAGE_H
#define STANDIN_STAGE_H

#include "tests/standin/target.h"

/* Serves a call of any kind but KIND_GENERATE. */
void stage_call(struct sim_target *t, struct mg_connection *c,
    const struct mg_request_info *ri, const json_t *body);
/* Serves GET .../KEY of a plain service: the first answer for KEY, or 404. */
void stage_lookup(struct sim_target *t, struct mg_connection *c,
    const struct mg_request_info *ri);
/* Returns the effects of the service in the query, {"KEY": count}. */
json_t *stage_effects(const struct mg_request_info *ri);

struct engine *engine_new(const struct target_conf *conf);
/* Serves POST /v1/completions. */
void engine_generate(
    struct sim_target *t, struct mg_connection *c, const json_t *body);
/*
 * Serves an engine's orders and cache events, and unknown paths; false for
 * POST /v1/completions, which engine_generate() serves.
 */
bool engine_handle(struct sim_target *t, struct mg_connection *c,
    const struct mg_request_info *ri);
/*
 * Makes loads of a model with this version fail from now on.  The version "0"
 * never matches a model and so ends the fault.
 */
void engine_fail_version(struct engine *e, struct web_param version);
/*
 * Returns {"orders": [...], "most_loading": N}: all orders received, and the
 * highest number of concurrent model loads.
 */
json_t *engine_orders(const struct mg_request_info *ri);

#endif
