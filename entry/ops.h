/*
 * The operators' HTTP server: health, readiness, metrics, status and drain.
 * Its handlers run on threads of CivetWeb.
 */
#ifndef ENTRY_OPS_H
#define ENTRY_OPS_H

#include "entry/control.h"
#include "entry/record.h"
#include "entry/settings.h"
#include "entry/proc_state.h"
#include "entry/traffic.h"

struct host_memory;
struct ops;

struct ops_opts {
	const struct settings *settings;
	struct proc_state *proc_state;
	struct traffic *traffic;
	struct records *records;
	const struct tally *tally;
	struct control *control;
	struct host_memory *memory;
};

/* Starts to listen; on failure returns NULL and sets e. */
struct ops *ops_start(const struct ops_opts *o, struct err *e);
bool ops_stop(struct ops *ops, usec_t until);

#endif
