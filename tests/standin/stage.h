/*
 * What targets of each kind do: encode, retrieve and rerank; plain services,
 * whose effects are counted by their keys; and model engines, which stream,
 * have a prefix cache and take orders.
 */
#ifndef STANDIN_STAGE_H
#define STANDIN_STAGE_H

#include "tests/standin/target.h"

void stage_call(struct runner *r, struct mg_connection *c,
    const struct mg_request_info *ri, const json_t *body);
/* GET .../KEY of a plain service: the key's first answer, or 404. */
void stage_lookup(struct runner *r, struct mg_connection *c,
    const struct mg_request_info *ri);
/* The effects of the service asked for, {"KEY": count}. */
json_t *stage_effects(const struct mg_request_info *ri);

struct engine *engine_new(const struct target_conf *conf);
void engine_generate(
    struct runner *r, struct mg_connection *c, const json_t *body);
/* Orders and cache events; false for any other path. */
bool engine_handle(struct runner *r, struct mg_connection *c,
    const struct mg_request_info *ri);
/* Loading this version fails from now on; "0" is never one. */
void engine_fail_version(struct engine *e, struct web_word version);
/* {"orders": [...], "most_loading": N} */
json_t *engine_orders(const struct mg_request_info *ri);

#endif
