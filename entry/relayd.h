/* Runs the relay and the discovery thread of a host that relays by route. */
#ifndef ENTRY_RELAYD_H
#define ENTRY_RELAYD_H

#include "entry/settings.h"

#include <signal.h>

/*
 * Runs until SIGTERM or SIGINT, which must be blocked and in set.  Returns 0,
 * or an error number with e set if it cannot start.
 */
int relayd_run(const struct settings *s, uint64_t incarnation,
    const sigset_t *set, struct err *e);

#endif
