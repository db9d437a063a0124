/*
 * Waits at the stage services, as the coordinators report them with each
 * acknowledgement of a job, by service, failure domain and rank.
 *
 * Load pattern: a chain of stages whose first service has room while a later
 * one has a long queue.  Without the reports every host starts chains whose
 * results expire before the later stage takes them.  A report is old when it is
 * used: the wait counts down with its age, as the queue drains, so a host that
 * hears nothing tries again.
 *
 * Times are in microseconds.  The table belongs to one thread.
 */
#ifndef KERNEL_OVERLOAD_STAGE_WAITS_H
#define KERNEL_OVERLOAD_STAGE_WAITS_H

#include "base/clock.h"

#include <glib.h>

#define STAGE_WAITS_RANKS 4 /* higher ranks count as the last one */

struct stage_waits {
	GHashTable *by_queue; /* service and domain -> struct queue_waits */
};

void stage_waits_init(struct stage_waits *w);
/*
 * Records the expected time from a job's arrival to its results.  The domain is
 * empty for a service that is not split.
 */
void stage_waits_report(struct stage_waits *w, const char *service,
    const char *domain, uint32_t rank, usec_t wait, usec_t now);
/* Returns what is left of the last reported wait; 0 if there is none. */
usec_t stage_waits_get(const struct stage_waits *w, const char *service,
    const char *domain, uint32_t rank, usec_t now);
void stage_waits_free(struct stage_waits *w);

#endif
