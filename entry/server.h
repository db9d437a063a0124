/* Shared by the CivetWeb servers for callers and operators. */
#ifndef ENTRY_SERVER_H
#define ENTRY_SERVER_H

#include <civetweb.h>

/*
 * Stops a server that listens on addr, IP:PORT; responses that its workers are
 * writing are completed.  CivetWeb checks for the stop only when a connection
 * is accepted or every two seconds, so connections to it are opened until it
 * has stopped.
 */
void server_stop(struct mg_context *ctx, const char *addr);

#endif
