/*
 * Probes targets for their load.  Probes are rare, as the responses of a busy
 * target carry its load.
 *
 * Each second the prober visits the next fleet.probe_percent / 2 percent of
 * the targets in rotation and probes those for which this sequoiad is among
 * the first two in rendezvous order.  The fleet therefore probes at most
 * probe_percent of the targets a second.  One process sends at most
 * MAX_PROBES_PER_SECOND; with 1,400 sequoiads and 10,000 targets it visits 100
 * targets a second and sends one probe in seven seconds.  A probe is one
 * request on a new connection with a response of at most
 * MAX_PROBE_RESPONSE_BYTES.
 *
 * All functions belong to the control thread.
 */
#ifndef ENTRY_PROBER_H
#define ENTRY_PROBER_H

#include "entry/tally.h"
#include "kernel/event.h"
#include "plat/http.h"

#define MAX_PROBES_PER_SECOND    8
#define MAX_PROBE_RESPONSE_BYTES 1024

struct host_memory;
struct prober;

struct prober_opts {
	struct http_loop *loop;
	const char *id; /* this sequoiad */
	uint64_t seed;  /* start of the rotation */
	struct tally *tally;
	/* A target has reported its load; called from http_run. */
	void (*load_reported)(
	    void *arg, const char *addr, uint32_t load, bool leaving);
	struct host_memory *memory; /* or NULL */
	void *arg;
};

struct prober *prober_new(const struct prober_opts *o);
/* Sets the targets of the host list; leaving ones are not probed. */
void prober_set_targets(
    struct prober *p, const struct listed_target *v, size_t n);
/* Sets the live sequoiads, by their ids. */
void prober_set_members(struct prober *p, const char *const *ids, size_t n);
void prober_tick(struct prober *p, const struct conf *c, usec_t now);
/* Must be called before the loop is freed. */
void prober_free(struct prober *p);

#endif
