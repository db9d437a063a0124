/* Runs the relay and the discovery thread of a host that relays by route. */
#ifndef ENTRY_RELAYD_H
#define ENTRY_RELAYD_H

#include "entry/settings.h"

struct stop_signal;

/*
 * Runs until the signal to stop; SIGHUP must be blocked.  Returns 0, or an
 * error number with e set if it cannot start.
 */
int relayd_run(const struct settings *s, uint64_t incarnation,
    struct stop_signal *stop, struct err *e);

#endif
