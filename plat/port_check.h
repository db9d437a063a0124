/*
 * Whether a process listens at an address: tells a crashed target from a
 * connection that broke by itself.
 *
 * A check opens a connection and closes it at once.  It belongs to the thread
 * of its event loop.
 */
#ifndef PLAT_PORT_CHECK_H
#define PLAT_PORT_CHECK_H

#include "base/clock.h"
#include "base/str.h"

#include <event2/event.h>

struct port_check;

struct port_check_opts {
	struct event_base *base;
	struct str addr; /* IP:PORT */
	usec_t timeout;
	/*
	 * Called once, never from within port_check_start; the check is freed
	 * afterwards.  refused: the host answers, and nothing listens there.
	 */
	void (*done)(void *arg, bool refused);
	void *arg;
};

/* Returns NULL if the check can't be started. */
struct port_check *port_check_start(const struct port_check_opts *o);
/* Ends a check; done is not called. */
void port_check_cancel(struct port_check *c);

#endif
