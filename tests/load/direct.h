/*
 * What the path adds: requests of the first mix section go one at a time, by
 * turns through a sequoiad and straight to the stand-ins, stage by stage.
 */
#ifndef LOAD_DIRECT_H
#define LOAD_DIRECT_H

#include "plat/http.h"
#include "tests/load/plan.h"

#include <jansson.h>

/*
 * Sends n requests each way, the first of each tenth of them not judged, and
 * tells the time to the first token, between tokens and to the whole answer.
 */
json_t *direct_measure(struct plan *p, struct http_loop *loop, uint32_t n);

#endif
