/*
 * Replays the first milliseconds of hosts that start together while callers
 * wait: who is served that was turned away before the configuration came.
 */
#include "kernel/overload/start_hold.h"

#include <glib.h>

#define MS      USEC_PER_MSEC

/* A caller every millisecond from the start on. */
#define CALLERS 1000

static void
test_replays(void)
{
	static const struct {
		const char *name;
		usec_t config_at;    /* 0: never */
		usec_t stop_at;      /* 0: never */
		usec_t arrive_until; /* bytes of the store's response */
		int max_turned_away;
		usec_t max_wait;
	} cases[] = {
		{ "configuration after 60 ms", 60 * MS, 0, 0, 0, 60 * MS },
		{ "configuration after 290 ms", 290 * MS, 0, 0, 0, 290 * MS },
		{ "store away", 0, 0, 0, CALLERS, START_HOLD_TIME },
		{ "late configuration", 500 * MS, 0, 0, 500, START_HOLD_TIME },
		{ "a large configuration on a slow link", 376 * MS, 0, 350 * MS,
		    0, 376 * MS },
		{ "one that stops arriving", 0, 0, 280 * MS, CALLERS,
		    380 * MS },
		{ "one that takes too long", 900 * MS, 0, 880 * MS, 900,
		    START_HOLD_MAX },
		{ "stopped while it starts", 0, 100 * MS, 0, CALLERS,
		    100 * MS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct start_hold h = { .started_at = 5 * USEC_PER_SEC };
		int turned_away = 0;
		int waiting = 0;
		usec_t longest = 0;

		for (int k = 1; k <= CALLERS; k++) {
			usec_t age = k * MS;

			waiting++;
			if (age <= cases[i].arrive_until)
				h.arrived_at = h.started_at + age;
			h.has_config = cases[i].config_at != 0 &&
			    age >= cases[i].config_at;
			h.stopping =
			    cases[i].stop_at != 0 && age >= cases[i].stop_at;
			if (!start_hold_is_over(&h, h.started_at + age))
				continue;
			if (waiting > 1)
				longest = age;
			if (!h.has_config)
				turned_away += waiting;
			waiting = 0;
		}
		g_test_message(
		    "%s: %d turned away", cases[i].name, turned_away);
		g_assert_cmpint(turned_away, <=, cases[i].max_turned_away);
		g_assert_cmpint(waiting, ==, 0);
		g_assert_cmpint(longest, <=, cases[i].max_wait);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/start-hold/replays", test_replays);
	return g_test_run();
}
