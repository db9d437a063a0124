/*
 * The relay: takes requests by host and path, and sends each through the
 * stages of its route to a target and the answer back.
 *
 * One thread runs it all on one event loop: the callers' connections, the
 * calls to targets, and the home of stage services.  Facts come from the
 * steward as whole views.
 */
#ifndef ENTRY_RELAY_H
#define ENTRY_RELAY_H

#include "base/err.h"
#include "entry/rpc.h"
#include "entry/settings.h"
#include "entry/view.h"

struct relay;
struct discovery;

struct relay_opts {
	const struct settings *settings;
	uint64_t incarnation;
};

struct relay *relay_new(const struct relay_opts *o, struct err *e);
/* Starts the thread; letters go out through the steward. */
void relay_start(struct relay *y, struct discovery *s);
/* From any thread; the relay owns the view. */
void relay_set_view(struct relay *y, struct view *v);
/* From any thread; takes the letter over and zeroes it. */
void relay_receive(struct relay *y, peer_letter *l);
/* Not ready from now on; open requests and connections are still served. */
void relay_drain(struct relay *y);
/*
 * The balancer has looked away and the process ends at the given time: idle
 * connections close, and requests that can't end until then are rejected.
 */
void relay_set_exit_time(struct relay *y, usec_t end);
/* Requests under way, from any thread. */
size_t relay_busy(const struct relay *y);
void relay_stop(struct relay *y);
void relay_free(struct relay *y);

#endif
