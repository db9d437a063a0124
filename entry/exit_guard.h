/*
 * Ends the process at a given time if it hasn't ended by then, so that a part
 * that waits for another host can't hold it until the platform kills it.  The
 * log then has what became of the requests as far as it was known.
 */
#ifndef ENTRY_EXIT_GUARD_H
#define ENTRY_EXIT_GUARD_H

#include "base/clock.h"

#include <stdbool.h>

#define EXIT_GUARD_COUNTS_BYTES 512

/*
 * Ends the process with status 0 at this time of clock_now, if it still runs;
 * to be called once.
 */
void exit_guard_start(usec_t at);
/*
 * Sets the text of stop-counts, which is logged if the exit is forced, or with
 * final now; only once in all.  May be called from any thread.
 */
void exit_guard_counts(const char *counts, bool final);

#endif
