/*
 * Calls of encode, retrieve and rerank, and of plain services: those have an
 * effect that is counted by its key.
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

#endif
