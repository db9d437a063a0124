/*
 * Reports to the collectors (kernel/crash_suspects.h) which calls were lost
 * with a target that crashed, and which parts of requests targets have
 * answered.
 *
 * A call lost before its answer began is reported once its target refuses
 * connections: a connection may also break by itself.  Answers are reported
 * only for parts that are under suspicion, here or at a collector.  Runs on the
 * relay's thread.
 */
#ifndef ENTRY_CRASH_REPORTS_H
#define ENTRY_CRASH_REPORTS_H

#include "entry/discovery.h"

#include <event2/event.h>

struct crash_reports;

struct crash_reports_opts {
	struct event_base *base;
	struct discovery *discovery;
	const char *self; /* id of this host */
	const char *self_rpc;
};

struct crash_reports *crash_reports_new(const struct crash_reports_opts *o);
/* Sets the live hosts (struct view_peer) and the quarantined parts. */
void crash_reports_set_view(struct crash_reports *c, const struct view *v);

struct lost_call {
	const char *target;
	const char *addr;
	const char *service;
	const struct part_set *parts;
};

/* A call was lost before its answer had begun. */
void crash_reports_lost(struct crash_reports *c, const struct lost_call *x);

struct answered_request {
	const char *service;
	const struct part_set *parts;
	uint64_t content; /* one of the parts */
	uint64_t own;     /* the part of its prompt that no other has; or 0 */
};

/* A target has begun to answer, and goes on. */
void crash_reports_answered(
    struct crash_reports *c, const struct answered_request *r);
/*
 * A collector asks which of the parts targets answered before; answers on them
 * are reported from now on.
 */
void crash_reports_asked(struct crash_reports *c, const peer_suspects *q);
/* Whether a collector has asked about a part that is not answered since. */
bool crash_reports_suspect(const struct crash_reports *c, uint64_t part);
/* Number of crashes reported by this host. */
uint64_t crash_reports_count(const struct crash_reports *c);
void crash_reports_free(struct crash_reports *c);

#endif
