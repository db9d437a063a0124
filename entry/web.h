/* The callers' side: HTTP requests in, answers and streams out. */
#ifndef ENTRY_WEB_H
#define ENTRY_WEB_H

#include "entry/record.h"
#include "entry/settings.h"
#include "entry/snap.h"
#include "entry/traffic.h"

struct web;

struct web_opts {
	const struct settings *settings;
	struct records *records;
	struct snaps *snaps;
	struct traffic *traffic;
};

/* Starts to listen; NULL with e when the address can't be used. */
struct web *web_start(const struct web_opts *o, struct err *e);
/* Waits until the last answer is written, then closes. */
void web_stop(struct web *w);

#endif
