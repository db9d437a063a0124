/* The state of the fleet and of the control thread, for operators. */
#ifndef ENTRY_REPORT_H
#define ENTRY_REPORT_H

#include "entry/control.h"

#include <jansson.h>

/* Adds members and the control thread's counts to the status object. */
void report_status(const struct control_report *r, json_t *status);
/* Adds limits: what each workspace uses here, and the share held. */
void report_limits(const struct traffic_report *r, json_t *status);
/* Appends the same as metrics. */
void report_metrics(const struct control_report *r, struct buf *out);

#endif
