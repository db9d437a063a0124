/*
 * An immutable snapshot that the discovery thread publishes to the relay: the
 * configuration in force, the targets and the live sequoiads.
 */
#ifndef ENTRY_VIEW_H
#define ENTRY_VIEW_H

#include "kernel/bounds.h"
#include "kernel/evacuations.h"
#include "kernel/quarantine.h"
#include "kernel/roster.h"
#include "kernel/routes.h"

struct view_peer {
	char id[MAX_NAME_BYTES + 1];
	char rpc[MAX_ADDR_BYTES];
	char operators[MAX_ADDR_BYTES];
	char domain[MAX_NAME_BYTES + 1];
	uint32_t capacity; /* thousandths of a core */
	uint64_t incarnation;
};

struct view {
	struct routes *routes; /* NULL until a configuration is in force */
	GArray *targets;       /* struct target_entry */
	/* The live hosts, including this one (struct view_peer). */
	GArray *peers;
	/* The list of the fleet's hosts has been read from the store. */
	bool hosts_listed;
	bool store_unavailable;
	GArray *evacuated; /* struct evacuation: those in force */
	uint64_t restores; /* of the store that this host has seen */
	struct quarantine quarantine;
	/* service -> base version (kernel/stream_records.h); strings */
	GHashTable *stream_bases;
	/* service -> struct stream_gap */
	GHashTable *stream_gaps;
	usec_t created_at;
};

void view_free(struct view *v);

#endif
