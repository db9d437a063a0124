/*
 * What the steward knows at one moment, immutable, for the relay: the
 * configuration in force, the targets, and the other live sequoiads.
 */
#ifndef ENTRY_VIEW_H
#define ENTRY_VIEW_H

#include "kernel/bounds.h"
#include "kernel/roster.h"
#include "kernel/routes.h"

struct view_peer {
	char id[MAX_NAME_BYTES + 1];
	char rpc[MAX_ADDR_BYTES];
	uint32_t capacity; /* thousandths of a core */
};

struct view {
	struct routes *routes; /* NULL until there is a configuration */
	GArray *targets;       /* struct target_entry */
	GArray *peers;         /* struct view_peer: live ones, this one too */
	bool store_unavailable;
	usec_t made; /* when it was made */
};

void view_free(struct view *v);

#endif
