/*
 * Asks runners for their load, rarely and by a few sequoiads: what is known of
 * a busy runner comes with its answers.
 *
 * Each second it looks at the next fleet.probe_percent / 2 percent of the
 * targets in rotation and asks those for which this sequoiad is among the
 * first two in rendezvous order.  So the fleet asks at most probe_percent of
 * the runners a second.  One process asks at most MAX_PROBES_PER_SECOND; at
 * 1,400 sequoiads and 10,000 runners it looks at 100 a second and asks one in
 * seven seconds.  A probe is one request on a new connection and an answer of
 * at most MAX_PROBE_RESPONSE_BYTES.
 *
 * Belongs to the control thread.
 */
#ifndef ENTRY_PROBER_H
#define ENTRY_PROBER_H

#include "entry/tally.h"
#include "kernel/event.h"
#include "plat/http.h"

#define MAX_PROBES_PER_SECOND    8
#define MAX_PROBE_RESPONSE_BYTES 1024

struct prober;

struct prober_opts {
	struct http_loop *loop;
	const char *id; /* of this sequoiad */
	uint64_t seed;  /* where the rotation starts */
	struct tally *tally;
	/* A target has told its load; called from http_run. */
	void (*load_reported)(
	    void *arg, const char *addr, uint32_t load, bool leaving);
	void *arg;
};

struct prober *prober_new(const struct prober_opts *o);
/* The targets of the host list; those that are leaving are not asked. */
void prober_set_targets(
    struct prober *p, const struct listed_target *v, size_t n);
/* Ids of the live sequoiads. */
void prober_set_members(struct prober *p, const char *const *ids, size_t n);
void prober_tick(struct prober *p, const struct conf *c, usec_t now);
/* To be freed before its loop. */
void prober_free(struct prober *p);

#endif
