/*
 * The platform's services and their faults: the JSON form of etcd's v3 API,
 * and the host list, which shows a change only after a lag.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "tests/standin/web.h"

void kv_init(void);
void kv_handle(struct mg_connection *c, const struct mg_request_info *ri);
/* Sets the fault that a POST /kv asks for; false when it is none. */
bool kv_set_fault(const struct mg_request_info *ri);
/* The counters, as GET /kv shows them. */
json_t *kv_counters(const struct mg_request_info *ri);

void hosts_init(usec_t lag);
/* Lists a host at once, for the start. */
void hosts_add(const char *service, const char *address, const char *domain);
void hosts_handle(struct mg_connection *c, const struct mg_request_info *ri);
/* Does what a POST /hosts asks for; false when it is not understood. */
bool hosts_change(const struct mg_request_info *ri);
/* How long the list has shown the address as leaving or gone; 0 if it has not.
 */
usec_t hosts_left_for(const char *address);

#endif
