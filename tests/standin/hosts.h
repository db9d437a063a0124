/* The host list: it shows a change only after a lag. */
#ifndef STANDIN_HOSTS_H
#define STANDIN_HOSTS_H

#include "tests/standin/web.h"

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
