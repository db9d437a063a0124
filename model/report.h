/*
 * Tables and plots of the model's results.
 */
#ifndef MODEL_REPORT_H
#define MODEL_REPORT_H

#include "model/sim.h"

/* Appends a table by kind: requests and times in ms. */
void report_kinds(
    const struct scenario *s, const struct sim_result *r, struct buf *out);
/* Appends a table by window: seconds and shares of the requests asked. */
void report_windows(
    const struct scenario *s, const struct sim_result *r, struct buf *out);
/*
 * Appends rows of comma-separated values with the columns policies, window
 * start (s), kind, asked, on_time, late, rejected, held.
 */
void report_csv(const struct scenario *s, const struct sim_result *r,
    unsigned policies, struct buf *out);
/* Appends an SVG plot of the share on time over time, one line a result. */
void report_svg(const struct scenario *s, const struct sim_result *v,
    const char *const *names, uint32_t n, struct buf *out);

#endif
