/*
 * The signal that tells the process to stop.  Any thread that looks for it sees
 * it, also as the first one after a standstill of the process.  The thread that
 * creates the object must have blocked the signals for all threads.
 */
#ifndef ENTRY_STOP_SIGNAL_H
#define ENTRY_STOP_SIGNAL_H

#include "base/clock.h"

#include <signal.h>

struct stop_signal;

/* signals: those that stop the process. */
struct stop_signal *stop_signal_new(const sigset_t *signals);
/*
 * Returns the earliest time at which the signal can have been sent, or 0 while
 * there is none; may be called from any thread.
 */
usec_t stop_signal_look(struct stop_signal *s);
/*
 * Looks, waits for the given time if there is none, and looks again.  Has to be
 * called often: the time since the last look is counted as part of the stop.
 */
usec_t stop_signal_wait(struct stop_signal *s, usec_t limit);
void stop_signal_free(struct stop_signal *s);

#endif
