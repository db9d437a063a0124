#include "kernel/overload/throughput.h"

#define SLOT_TIME (250 * USEC_PER_MSEC)
/* Complete slots needed for a measurement: more than one stage call. */
#define MIN_SLOTS 4
/*
 * After so many slots without work taken the servers were gone, and say nothing
 * about those that are there now.
 */
#define MAX_GAP   4
/* Lowest rate, as a share of the nominal one: no queue stalls for good. */
#define MIN_SHARE 0.05

static int64_t
slot_number(usec_t now)
{
	return now / SLOT_TIME + 1;
}

static uint32_t
current_slot(struct throughput *t, usec_t now)
{
	int64_t at = slot_number(now);
	uint32_t i = (uint32_t)(at % THROUGHPUT_SLOTS);

	if (t->slots[i].at != at) {
		t->slots[i].at = at;
		t->slots[i].done = 0;
		t->slots[i].idle = false;
	}
	return i;
}

void
throughput_add(struct throughput *t, uint32_t n, usec_t now)
{
	t->slots[current_slot(t, now)].done += n;
}

void
throughput_idle(struct throughput *t, usec_t now)
{
	t->slots[current_slot(t, now)].idle = true;
}

double
throughput_rate(const struct throughput *t, usec_t now, double nominal)
{
	int64_t last = slot_number(now) - 1;
	uint32_t n = 0; /* slots up to the oldest in which work was taken */
	uint32_t done = 0;
	double rate;

	for (uint32_t k = 0; k < THROUGHPUT_SLOTS - 1 && k - n < MAX_GAP; k++) {
		uint32_t i = (uint32_t)((last - k) % THROUGHPUT_SLOTS);

		if (last - k <= 0)
			break;
		if (t->slots[i].at != last - k)
			continue; /* nothing happened */
		if (t->slots[i].idle)
			break;
		done += t->slots[i].done;
		n = k + 1;
	}
	if (n < MIN_SLOTS)
		return nominal;
	rate = done * (double)USEC_PER_SEC / ((double)SLOT_TIME * n);
	return rate > MIN_SHARE * nominal ? rate : MIN_SHARE * nominal;
}
