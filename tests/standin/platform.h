/*
 * Imitation of the platform's services: a key-value service with the JSON form
 * of etcd's v3 API, and the host list, which shows a change only after a lag.
 * The admin address sets faults of the key-value service and states of hosts.
 * After kv_init() and hosts_init(), all functions may be called from any
 * thread.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "tests/standin/web.h"

void kv_init(void);
void kv_handle(struct mg_connection *c, const struct mg_request_info *ri);
/* Sets the fault of a POST /kv request; false if the request is invalid. */
bool kv_set_fault(const struct mg_request_info *ri);
/* Returns the counters that GET /kv answers. */
json_t *kv_counters(const struct mg_request_info *ri);

void hosts_init(usec_t lag);
/* Adds a live host that is visible at once, when the stand-in starts. */
void hosts_add(const char *service, const char *address, const char *domain);
void hosts_handle(struct mg_connection *c, const struct mg_request_info *ri);
/* Carries out a POST /hosts request; false if the request is invalid. */
bool hosts_set_state(const struct mg_request_info *ri);
/*
 * Returns for how long the list has shown the address as leaving or gone, or
 * 0 while it shows the address as live or doesn't have it.
 */
usec_t hosts_time_since_left(const char *address);

#endif
