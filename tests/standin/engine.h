/* Model engines: streams, the prefix cache, orders and loading. */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "tests/standin/target.h"

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
