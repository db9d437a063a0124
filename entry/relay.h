/*
 * The relay: the HTTP reverse proxy on the request path.  It matches requests
 * to routes by host and path, runs the stages of the route, sends the request
 * to a target and passes the response back.
 *
 * One thread runs everything on one event loop: the callers' connections, the
 * calls to targets and the coordinators of stage services.  The discovery
 * thread publishes configuration, targets and peers as immutable views.  Times
 * are in microseconds.
 */
#ifndef ENTRY_RELAY_H
#define ENTRY_RELAY_H

#include "base/err.h"
#include "entry/rpc.h"
#include "entry/settings.h"
#include "entry/view.h"

struct relay;
struct host_memory;
struct stop_signal;
struct discovery;

struct relay_opts {
	const struct settings *settings;
	uint64_t incarnation;
	struct host_memory *memory;      /* must outlive the relay; or NULL */
	struct stop_signal *stop_signal; /* must outlive the relay */
};

/* Opens the listening sockets; returns NULL and sets e if that fails. */
struct relay *relay_new(const struct relay_opts *o, struct err *e);
/* Starts the thread; datagrams are sent through the discovery thread's RPC. */
void relay_start(struct relay *y, struct discovery *d);
/* May be called from any thread; the relay takes ownership of the view. */
void relay_set_view(struct relay *y, struct view *v);
/*
 * May be called from any thread; takes ownership of the datagram and zeroes the
 * caller's copy.
 */
void relay_receive(struct relay *y, peer_letter *d);
/*
 * Makes the relay look for the signal to stop at once; may be called from any
 * thread.  From the signal on it reports the host as not ready and refuses
 * requests that would not end before the exit; once the load balancer has
 * stopped routing here, it closes idle connections.
 */
void relay_drain(struct relay *y);
/*
 * Whether the last request has ended after the drain, and none can come any
 * more; may be called from any thread.
 */
bool relay_finished(const struct relay *y);
/* Ends the thread and breaks off the requests that are left. */
void relay_stop(struct relay *y);
void relay_free(struct relay *y);

#endif
