/* encode, retrieve and rerank. */
#ifndef STANDIN_STAGE_H
#define STANDIN_STAGE_H

#include "tests/standin/target.h"

void stage_call(struct runner *r, struct mg_connection *c,
    const struct mg_request_info *ri, const json_t *body);

#endif
