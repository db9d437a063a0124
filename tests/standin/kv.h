/* The key-value service: the JSON form of etcd's v3 API, and its faults. */
#ifndef STANDIN_KV_H
#define STANDIN_KV_H

#include "tests/standin/web.h"

void kv_init(void);
void kv_handle(struct mg_connection *c, const struct mg_request_info *ri);
/* Sets the fault that a POST /kv asks for; false when it is none. */
bool kv_set_fault(const struct mg_request_info *ri);
/* The counters, as GET /kv shows them. */
json_t *kv_counters(const struct mg_request_info *ri);

#endif
