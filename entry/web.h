/* The callers' side: HTTP requests in, answers and streams out. */
#ifndef ENTRY_WEB_H
#define ENTRY_WEB_H

#include "entry/control.h"
#include "entry/record.h"
#include "entry/settings.h"
#include "entry/proc_state.h"
#include "entry/tally.h"
#include "entry/traffic.h"

struct web;

struct web_opts {
	const struct settings *settings;
	struct records *records;
	struct proc_state *proc_state;
	struct traffic *traffic;
	struct tally *tally;
	struct control *control;
};

/* Starts to listen; NULL with e when the address can't be used. */
struct web *web_start(const struct web_opts *o, struct err *e);
/* Ends what takes too long; to be called a few times a second. */
void web_sweep(struct web *w, usec_t now);
/* Requests that are being read, waited for or answered. */
unsigned web_busy(struct web *w);
/* Closes; answers that are still being written are cut off. */
void web_stop(struct web *w);

#endif
