#include "model/report.h"

#include <string.h>

#define WIDTH  640
#define HEIGHT 240
#define MARGIN 40

static double
percent(uint32_t n, uint32_t of)
{
	return of > 0 ? 100.0 * n / of : 0;
}

void
report_kinds(
    const struct scenario *s, const struct sim_result *r, struct buf *out)
{
	buf_printf(out, "%-16s %7s %8s %7s %9s %6s %12s\n", "kind", "asked",
	    "on time", "late", "rejected", "held", "rejected in");
	for (uint32_t k = 0; k < s->n_kinds; k++) {
		const struct sim_counts *c = &r->kinds[k];
		double ms = c->rejections > 0
		    ? (double)c->reject_time / c->rejections / USEC_PER_MSEC
		    : 0;

		buf_printf(out,
		    "%-16s %7u %7.1f%% %6.1f%% %8.1f%% %6u %9.0f ms\n",
		    s->kinds[k].name, c->asked, percent(c->on_time, c->asked),
		    percent(c->late, c->asked), percent(c->rejected, c->asked),
		    c->held, ms);
	}
	buf_printf(out,
	    "stage work %.1f s, wasted %.1f%%; chains begun again %u; "
	    "longest queues %u pieces\n",
	    r->work, r->work > 0 ? 100 * r->wasted / r->work : 0, r->restarts,
	    r->max_queue);
}

void
report_windows(
    const struct scenario *s, const struct sim_result *r, struct buf *out)
{
	buf_printf(out, "%-8s %7s %8s %7s %9s\n", "from s", "asked", "on time",
	    "late", "rejected");
	for (uint32_t w = 0; w < r->n_windows; w++) {
		struct sim_counts sum = { 0 };

		for (uint32_t k = 0; k < s->n_kinds; k++) {
			sum.asked += r->windows[w][k].asked;
			sum.on_time += r->windows[w][k].on_time;
			sum.late += r->windows[w][k].late;
			sum.rejected += r->windows[w][k].rejected;
		}
		if (sum.asked == 0)
			continue;
		buf_printf(out, "%-8g %7u %7.1f%% %6.1f%% %8.1f%%\n",
		    (double)w * (double)s->window / USEC_PER_SEC, sum.asked,
		    percent(sum.on_time, sum.asked),
		    percent(sum.late, sum.asked),
		    percent(sum.rejected, sum.asked));
	}
}

void
report_csv(const struct scenario *s, const struct sim_result *r,
    unsigned policies, struct buf *out)
{
	for (uint32_t w = 0; w < r->n_windows; w++) {
		for (uint32_t k = 0; k < s->n_kinds; k++) {
			const struct sim_counts *c = &r->windows[w][k];

			buf_printf(out, "%u,%g,%s,%u,%u,%u,%u,%u\n", policies,
			    (double)w * (double)s->window / USEC_PER_SEC,
			    s->kinds[k].name, c->asked, c->on_time, c->late,
			    c->rejected, c->held);
		}
	}
}

static void
put_line(const struct scenario *s, const struct sim_result *r, uint32_t i,
    const char *name, struct buf *out)
{
	static const char *const colours[] = { "#1f77b4", "#d62728", "#2ca02c",
		"#9467bd" };
	const char *colour = colours[i % 4];

	buf_printf(
	    out, "<polyline fill=\"none\" stroke=\"%s\" points=\"", colour);
	for (uint32_t w = 0; w < r->n_windows; w++) {
		uint32_t asked = 0;
		uint32_t on_time = 0;

		for (uint32_t k = 0; k < s->n_kinds; k++) {
			asked += r->windows[w][k].asked;
			on_time += r->windows[w][k].on_time;
		}
		if (asked > 0)
			buf_printf(out, "%.1f,%.1f ",
			    MARGIN + (double)WIDTH * w / r->n_windows,
			    MARGIN + HEIGHT * (1 - (double)on_time / asked));
	}
	buf_printf(out, "\"/>\n<text x=\"%d\" y=\"%u\" fill=\"%s\">%s</text>\n",
	    MARGIN + WIDTH - 150, MARGIN + 16 * (i + 1), colour, name);
}

void
report_svg(const struct scenario *s, const struct sim_result *v,
    const char *const *names, uint32_t n, struct buf *out)
{
	buf_printf(out,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
	    "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
	    WIDTH + 2 * MARGIN, HEIGHT + 2 * MARGIN);
	for (int p = 0; p <= 100; p += 25)
		buf_printf(out,
		    "<line x1=\"%d\" x2=\"%d\" y1=\"%g\" y2=\"%g\" "
		    "stroke=\"#ddd\"/><text x=\"4\" y=\"%g\">%d%%</text>\n",
		    MARGIN, MARGIN + WIDTH, MARGIN + HEIGHT * (1 - p / 100.0),
		    MARGIN + HEIGHT * (1 - p / 100.0),
		    MARGIN + HEIGHT * (1 - p / 100.0) + 4, p);
	for (uint32_t i = 0; i < n; i++)
		put_line(s, &v[i], i, names[i], out);
	buf_printf(out,
	    "<text x=\"%d\" y=\"%d\">on time, by second of arrival "
	    "(0 to %g)</text>\n</svg>\n",
	    MARGIN, 2 * MARGIN + HEIGHT - 8, (double)s->length / USEC_PER_SEC);
}
