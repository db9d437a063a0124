/* Shared by the CivetWeb servers for callers and operators. */
#ifndef ENTRY_SERVER_H
#define ENTRY_SERVER_H

#include "base/clock.h"

#include <civetweb.h>
#include <stdbool.h>

/*
 * Stops a server that listens on addr, IP:PORT; responses that its workers are
 * writing are completed.  CivetWeb checks for the stop only when a connection
 * is accepted or every two seconds, so connections to it are opened until it
 * has stopped.  Returns false, and leaves the server to itself, if it hasn't
 * stopped at the given time.
 */
bool server_stop(struct mg_context *ctx, const char *addr, usec_t until);

#endif
