/*
 * Measures the latency that a sequoiad adds: requests of the first mix section
 * are sent one at a time, in turn through a sequoiad and directly to the
 * stand-in's targets, stage by stage.
 */
#ifndef LOAD_DIRECT_H
#define LOAD_DIRECT_H

#include "plat/http.h"
#include "tests/load/plan.h"

#include <jansson.h>

/*
 * Sends n requests each way and returns, for both ways, quantiles of the time
 * to the first token, between tokens and to the complete answer.
 */
json_t *direct_measure(struct plan *p, struct http_loop *loop, uint32_t n);

#endif
