/*
 * The HTTP server for callers, on CivetWeb: reads requests, writes responses
 * and event streams.  Each worker thread of CivetWeb serves one connection at a
 * time.
 */
#ifndef ENTRY_WEB_H
#define ENTRY_WEB_H

#include "entry/control.h"
#include "entry/record.h"
#include "entry/settings.h"
#include "entry/proc_state.h"
#include "entry/tally.h"
#include "entry/traffic.h"

struct host_memory;
struct web;

struct web_opts {
	const struct settings *settings;
	struct records *records;
	struct proc_state *proc_state;
	struct traffic *traffic;
	struct tally *tally;
	struct control *control;
	struct host_memory *memory;
};

/* Starts listening; returns NULL and sets e if the address can't be used. */
struct web *web_start(const struct web_opts *o, struct err *e);
/* Ends requests whose body is overdue; to be called a few times per second. */
void web_sweep(struct web *w, usec_t now);
/* Number of requests being read, in progress or being answered. */
unsigned web_busy(struct web *w);
/*
 * Logs each request whose caller has no complete answer at the exit; returns
 * how many.
 */
unsigned web_log_cut(struct web *w, usec_t signal_at);
/*
 * Stops the server and frees it; responses that are still being written are cut
 * off.  Returns false, and leaves it, if it hasn't stopped at the given time.
 */
bool web_stop(struct web *w, usec_t until);

#endif
