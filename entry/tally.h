/* Counts of the requests that were refused before the kernel saw them. */
#ifndef ENTRY_TALLY_H
#define ENTRY_TALLY_H

#include "base/err.h"

#include <stdatomic.h>

struct tally {
	atomic_ullong refused[-ERR_LAST]; /* by -(enum err_kind) */
};

#endif
