/*
 * What the relay serves on the operators' address: readiness probes, metrics,
 * its status, quarantines, what would become of a request, and calls to targets
 * for other hosts.
 */
#ifndef ENTRY_RELAY_OPS_H
#define ENTRY_RELAY_OPS_H

#include "entry/httpd.h"

#include <stdbool.h>

struct discovery;
struct host_memory;
struct relay_shared;
struct routes;

struct relay_ops {
	struct relay_shared *shared;
	const struct httpd *httpd; /* for callers */
	struct discovery *discovery;
	struct host_memory *memory;
	struct routes *routes; /* in force; NULL: none yet */
	bool ready;
};

/* Answers a request, or makes a call for another host. */
void relay_ops_serve(const struct relay_ops *o, struct httpd_request *q);

#endif
