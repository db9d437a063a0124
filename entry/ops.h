/* The operators' side: health, readiness, metrics and status. */
#ifndef ENTRY_OPS_H
#define ENTRY_OPS_H

#include "entry/control.h"
#include "entry/record.h"
#include "entry/settings.h"
#include "entry/proc_state.h"
#include "entry/traffic.h"

struct ops;

struct ops_opts {
	const struct settings *settings;
	struct proc_state *proc_state;
	struct traffic *traffic;
	struct records *records;
	const struct tally *tally;
	struct control *control;
};

struct ops *ops_start(const struct ops_opts *o, struct err *e);
void ops_stop(struct ops *ops);

#endif
