/*
 * The control thread: configuration, host list, membership and claims.  It
 * publishes snapshots and feeds the traffic thread.
 */
#ifndef ENTRY_CONTROL_H
#define ENTRY_CONTROL_H

#include "entry/settings.h"
#include "entry/snap.h"
#include "entry/traffic.h"

struct control;

struct control_opts {
	const struct settings *settings;
	struct snaps *snaps;
};

struct control *control_new(const struct control_opts *o);
/* The traffic thread that it feeds; set once, before control_start. */
void control_start(struct control *c, struct traffic *t);
/* For traffic_opts.claim; called on the traffic thread. */
void control_claim(
    void *arg, enum action_kind kind, const struct action_claim *a);
void control_stop(struct control *c);
void control_free(struct control *c);

#endif
