/*
 * Calls of encode, retrieve and rerank, and of plain services: those have an
 * effect that is counted by its key.
 */
#ifndef STANDIN_STAGE_H
#define STANDIN_STAGE_H

#include "tests/standin/target.h"

void stage_call(struct runner *r, struct mg_connection *c,
    const struct mg_request_info *ri, const json_t *body);

void plain_call(struct runner *r, struct mg_connection *c, const json_t *body);
/* GET .../KEY: the first answer that the key had, or 404. */
void plain_lookup(struct runner *r, struct mg_connection *c,
    const struct mg_request_info *ri);
/* The service's effects, {"KEY": count}. */
json_t *plain_effects(const char *service);
void plain_reset(void);

#endif
