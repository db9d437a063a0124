/*
 * Tests of what a slow stage target is used for: pieces must not be late in a
 * slow call while fast targets have room, and a target that has become fast
 * again must be noticed.
 */
#include "kernel/overload/batch.h"

#include <glib.h>

#define MS(n) ((usec_t)(n)*USEC_PER_MSEC)
#define NOW   (100 * USEC_PER_SEC)
#define CALL  MS(400) /* expected duration of a call */

struct use_case {
	const char *name;
	double slowness;  /* 0: no call so far */
	double others;    /* slowness of the other targets */
	usec_t last_call; /* time since the last call */
	usec_t backlog;
	enum target_use use;
};

static const struct use_case uses[] = {
	{ "no call so far", 0, 1, 0, 0, TARGET_USE },
	{ "fast", 1.2, 1, MS(500), 0, TARGET_USE },
	{ "slow, others have room", 4, 1, MS(500), MS(300), TARGET_LEAVE },
	{ "slow, others are full", 4, 1, MS(500), MS(1300), TARGET_USE_LAST },
	{ "slow for long", 4, 1, MS(2500), MS(300), TARGET_USE_PROBE },
	{ "as slow as the others", 4, 4, MS(500), 0, TARGET_USE },
	{ "all are slower than configured", 4, 3, MS(500), 0, TARGET_USE },
	{ "no fast target", 4, 1, MS(500), INT64_MAX, TARGET_USE_LAST },
};

static void
test_use(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(uses); i++) {
		const struct use_case *c = &uses[i];
		double slowness[] = { c->others, c->slowness, c->others };
		struct target_speeds all = target_speeds_of(slowness, 3, 0);
		struct target_speed s = { 0 };

		g_test_message("%s", c->name);
		if (c->slowness > 0)
			target_speed_record(&s, CALL,
			    (usec_t)(c->slowness * (double)CALL),
			    NOW - c->last_call);
		g_assert_cmpint(
		    target_speed_use(&s, &all, CALL, c->backlog, NOW), ==,
		    c->use);
	}
}

/* A target turns slow within two calls, and fast again as soon. */
static void
test_record(void)
{
	struct target_speeds all = { .typical = 1, .fast = 5 };
	struct target_speed s = { 0 };

	target_speed_record(&s, CALL, CALL, NOW);
	for (int k = 0; k < 2; k++)
		target_speed_record(&s, CALL, 4 * CALL, NOW);
	g_assert_true(target_speed_is_slow(&s, &all));
	for (int k = 0; k < 3; k++)
		target_speed_record(&s, CALL, CALL, NOW);
	g_assert_false(target_speed_is_slow(&s, &all));
}

struct take_case {
	const char *name;
	enum target_use use;
	uint32_t n, first; /* pieces taken, and the first one's number */
};

/* Ten pieces wait, the last one is the least urgent. */
static const struct take_case takes[] = {
	{ "fast", TARGET_USE, 10, 0 },
	{ "slow, others are full", TARGET_USE_LAST, 10, 9 },
	{ "probe", TARGET_USE_PROBE, 4, 9 },
	{ "left", TARGET_LEAVE, 0, 0 },
};

static void
test_take(void)
{
	static const struct pool_config config = { .slots = 1,
		.batch = 16,
		.call_cost = MS(240),
		.item_cost = MS(10),
		.result_bytes = 1000000,
		.result_ttl = MS(4000) };

	for (size_t i = 0; i < G_N_ELEMENTS(takes); i++) {
		const struct take_case *c = &takes[i];
		struct batch b = { 0 };
		GArray *out =
		    g_array_new(FALSE, FALSE, sizeof(struct batch_item));
		int owners[10];

		g_test_message("%s", c->name);
		batch_init(&b, &config);
		for (uint32_t k = 0; k < G_N_ELEMENTS(owners); k++)
			batch_add(&b,
			    &(struct batch_item){ .owner = &owners[k],
				.piece = k,
				.soft_deadline = NOW + MS(1000 + 10 * k),
				.deadline = NOW + MS(5000),
				.bytes = 10,
				.queued = NOW });
		batch_take(&b, NOW, 1,
		    &(struct batch_target){
			.free_bytes = 1000000, .use = c->use },
		    out);
		g_assert_cmpuint(out->len, ==, c->n);
		if (c->n > 0)
			g_assert_cmpuint(
			    g_array_index(out, struct batch_item, 0).piece, ==,
			    c->first);
		g_array_unref(out);
		batch_free(&b);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/target_speed/use", test_use);
	g_test_add_func("/target_speed/record", test_record);
	g_test_add_func("/target_speed/take", test_take);
	return g_test_run();
}
