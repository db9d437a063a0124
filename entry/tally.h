/* Counts that the kernel does not keep; written by several threads. */
#ifndef ENTRY_TALLY_H
#define ENTRY_TALLY_H

#include "base/err.h"

#include <stdatomic.h>

struct tally {
	/* Requests that the kernel never saw, by -(enum err_kind). */
	atomic_ullong refused[-ERR_LAST];
	atomic_ullong probes; /* targets asked for their load */
	atomic_ullong failed_probes;
};

#endif
