/* Writes the state of the fleet and of the control thread for operators. */
#ifndef ENTRY_REPORT_H
#define ENTRY_REPORT_H

#include "entry/control.h"

#include <jansson.h>

/* Adds the members and the control thread's counters to the status object. */
void report_status(const struct control_report *r, json_t *status);
/* Adds the limits: the usage and the share of each workspace here. */
void report_limits(const struct traffic_report *r, json_t *status);
/* Appends the members and the control thread's counters as metrics. */
void report_metrics(const struct control_report *r, struct buf *out);

#endif
