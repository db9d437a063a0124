/* What the servers of callers and operators have in common. */
#ifndef ENTRY_SERVER_H
#define ENTRY_SERVER_H

#include <civetweb.h>

/*
 * Stops a server that listens at IP:PORT; what its workers answer is finished.
 * CivetWeb looks for its end only when a connection comes or every two
 * seconds, so connections are made until it has ended.
 */
void server_stop(struct mg_context *ctx, const char *addr);

#endif
