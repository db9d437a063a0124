/*
 * Counters that the kernel does not keep.  Written by several threads, hence
 * atomic.
 */
#ifndef ENTRY_TALLY_H
#define ENTRY_TALLY_H

#include "base/err.h"

#include <stdatomic.h>

struct tally {
	/*
	 * Requests refused before they reached the kernel, indexed by -(enum
	 * err_kind).
	 */
	atomic_ullong refused[-ERR_LAST];
	atomic_ullong probes; /* load probes sent to targets */
	atomic_ullong failed_probes;
	/* Requests without a complete answer at the exit. */
	atomic_ullong stop_requests_cut;
};

#endif
