/* The calls that steer the stand-ins and show what they have counted. */
#ifndef STANDIN_ADMIN_H
#define STANDIN_ADMIN_H

#include "tests/standin/web.h"

void admin_handle(struct mg_connection *c, const struct mg_request_info *ri);

#endif
