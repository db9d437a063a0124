/*
 * Table-driven tests of the claims of one shard.
 *
 * Guards against two grants of one key, which would run a non-repeatable call
 * twice: by repeated deliveries, refusals, settlements seen before their claim,
 * and keys whose claim was dropped by retention.
 */
#include "kernel/claims.h"
#include "kernel/uuid7.h"

#include <glib.h>
#include <string.h>

#define KEY       "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
#define KEY_TIME  (1645557742000 * USEC_PER_MSEC)
#define RETENTION (3600 * USEC_PER_SEC)
#define MAX_STEPS 6

/*
 * One step of a case: a claim, refusal or settlement, and the expected result.
 */
struct test_step {
	enum claim_step step;
	uint64_t holder;
	uint32_t attempt;
	enum claim_result want;
	enum outcome outcome; /* outcome of SETTLE or TAKEN_DONE */
	uint64_t body;
	const char *answer;
};

static struct claim
to_claim(const struct test_step *st)
{
	return (struct claim){
		.step = st->step,
		.workspace = STR("yard"),
		.pipeline = STR("payout"),
		.key = STR(KEY),
		.attempt = st->attempt,
		.body_hash = st->body,
		.holder = st->holder,
		.request_id = STR("r-1"),
		.outcome = st->outcome,
		.answer = str_from(st->answer),
	};
}

/*
 * Decides as the log does, by the encoded payload, and applies it if it is
 * admitted.
 */
static struct claim_verdict
run(struct claims *c, const struct claim *cl)
{
	json_auto_t *payload = claim_pack(cl);
	int code = claims_ops.admit(c, payload);
	struct alog_completion d = { .result = ALOG_DENIED, .code = code };

	if (code == 0) {
		d.result = ALOG_ACCEPTED;
		claims_ops.apply(c, payload, 1);
	}
	return claims_verdict(c, cl, &d);
}

#define CLAIM(h, n, want) \
	((struct test_step){ CLAIM_STEP_CLAIM, h, n, CLAIM_##want })
#define REFUSE(h, n, want) \
	((struct test_step){ CLAIM_STEP_REFUSE, h, n, CLAIM_##want })
#define SETTLE(h, n, want, out, ans) \
	((struct test_step){         \
	    CLAIM_STEP_SETTLE, h, n, CLAIM_##want, OUTCOME_##out, 0, ans })
#define DONE(step, h, n, out, ans)                                      \
	((struct test_step){ CLAIM_STEP_##step, h, n, CLAIM_TAKEN_DONE, \
	    OUTCOME_##out, 0, ans })

static void
test_decisions(void)
{
	static const struct {
		const char *name;
		struct test_step steps[MAX_STEPS];
	} cases[] = {
		{ "two deliveries",
		    { CLAIM(1, 1, GRANTED), CLAIM(2, 1, TAKEN),
			CLAIM(2, 2, TAKEN), REFUSE(2, 1, TAKEN) } },
		{ "the same delivery again",
		    { CLAIM(1, 1, GRANTED), CLAIM(1, 1, GRANTED),
			SETTLE(1, 1, GRANTED, FAILED, NULL),
			CLAIM(1, 1, GRANTED) } },
		{ "refused, then a higher attempt",
		    { REFUSE(1, 2, REFUSED), REFUSE(2, 1, REFUSED),
			CLAIM(1, 1, BARRED), CLAIM(2, 2, BARRED),
			CLAIM(2, 3, GRANTED), REFUSE(1, 2, REFUSED) } },
		{ "refused by its holder",
		    { CLAIM(1, 1, GRANTED), REFUSE(1, 1, REFUSED),
			CLAIM(1, 1, BARRED), CLAIM(2, 2, GRANTED) } },
		{ "settled as not run",
		    { CLAIM(1, 1, GRANTED),
			SETTLE(1, 1, GRANTED, NOT_RUN, NULL),
			CLAIM(1, 1, BARRED), CLAIM(2, 2, GRANTED),
			CLAIM(1, 3, TAKEN) } },
		{ "settled with an answer",
		    { CLAIM(1, 1, GRANTED),
			SETTLE(1, 1, GRANTED, COMPLETE, "{}"),
			DONE(CLAIM, 2, 1, COMPLETE, "{}"),
			DONE(REFUSE, 2, 2, COMPLETE, "{}"),
			SETTLE(1, 1, GRANTED, FAILED, NULL),
			DONE(CLAIM, 2, 2, COMPLETE, "{}") } },
		{ "unknown, then looked up by another",
		    { CLAIM(1, 1, GRANTED),
			SETTLE(1, 1, GRANTED, UNKNOWN, NULL),
			CLAIM(2, 2, TAKEN), SETTLE(2, 2, TAKEN, NOT_RUN, NULL),
			SETTLE(2, 2, GRANTED, COMPLETE, "{}"),
			DONE(CLAIM, 3, 2, COMPLETE, "{}") } },
		{ "another body",
		    { CLAIM(1, 1, GRANTED),
			{ CLAIM_STEP_CLAIM, 2, 2, CLAIM_REUSED, 0, 7 },
			{ CLAIM_STEP_REFUSE, 2, 2, CLAIM_REUSED, 0, 7 } } },
		{ "a settlement before its claim",
		    { SETTLE(1, 1, GRANTED, COMPLETE, NULL),
			CLAIM(2, 1, GRANTED), CLAIM(3, 1, TAKEN) } },
		{ "a settlement before a later claim",
		    { { CLAIM_STEP_REFUSE, 1, 1, CLAIM_REFUSED, 0, 0 },
			SETTLE(1, 2, GRANTED, COMPLETE, NULL),
			SETTLE(1, 1, TAKEN, COMPLETE, NULL),
			CLAIM(2, 2, GRANTED) } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct claims *c = claims_new();

		claims_tick(c, KEY_TIME, RETENTION);
		for (size_t j = 0; j < MAX_STEPS; j++) {
			const struct test_step *st = &cases[i].steps[j];
			struct claim cl = to_claim(st);
			struct claim_verdict v;

			if (st->attempt == 0)
				break;
			v = run(c, &cl);
			g_test_message("%s, step %zu", cases[i].name, j + 1);
			g_assert_cmpint(v.result, ==, st->want);
			if (v.result != CLAIM_TAKEN_DONE)
				continue;
			g_assert_cmpint(v.outcome, ==, st->outcome);
			g_assert_true(str_eq(v.answer, str_from(st->answer)));
		}
		claims_free(c);
	}
}

static void
test_retention(void)
{
	struct claims *c = claims_new();
	struct test_step st = CLAIM(1, 1, GRANTED);
	struct claim cl = to_claim(&st);

	claims_tick(c, KEY_TIME, RETENTION);
	g_assert_cmpint(run(c, &cl).result, ==, CLAIM_GRANTED);
	cl.holder = 2;
	claims_tick(c, KEY_TIME + RETENTION, RETENTION);
	g_assert_cmpint(run(c, &cl).result, ==, CLAIM_TAKEN);
	claims_tick(c, KEY_TIME + RETENTION + 1, RETENTION);
	g_assert_cmpint(run(c, &cl).result, ==, CLAIM_OLD);
	g_assert_cmpuint(claims_count(c), ==, 1);
	claims_tick(c, KEY_TIME + 2 * RETENTION, RETENTION);
	g_assert_cmpuint(claims_count(c), ==, 0);
	g_assert_cmpuint(claims_bytes(c), ==, 0);
	g_assert_cmpint(run(c, &cl).result, ==, CLAIM_OLD);
	claims_free(c);
}

/*
 * A key whose claim some host may have dropped is old for every host, even
 * after the retention was raised or the clock set back.
 */
static void
test_old_key(void)
{
	static const struct {
		const char *name;
		usec_t wall[2]; /* wall clock, after KEY_TIME */
		usec_t retention[2];
		usec_t dropped; /* time after KEY_TIME; 0: none */
		bool old;
	} cases[] = {
		{ "retention not known", { RETENTION }, { 0 }, 0, false },
		{ "retention raised", { RETENTION + 1, RETENTION + 1 },
		    { RETENTION, 2 * RETENTION }, 0, true },
		{ "clock set back", { RETENTION + 1, 0 },
		    { RETENTION, RETENTION }, 0, true },
		{ "dropped by another host", { 0, 0 }, { 0, RETENTION }, 1,
		    true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct claims *c = claims_new();
		struct test_step st = CLAIM(1, 1, GRANTED);
		struct claim cl = to_claim(&st);

		for (size_t j = 0; j < 2; j++)
			claims_tick(c, KEY_TIME + cases[i].wall[j],
			    cases[i].retention[j]);
		if (cases[i].dropped > 0)
			claims_ops.dropped(c, KEY_TIME + cases[i].dropped);
		g_test_message("%s", cases[i].name);
		g_assert_cmpint(run(c, &cl).result, ==,
		    cases[i].old ? CLAIM_OLD : CLAIM_GRANTED);
		claims_free(c);
	}
}

static void
test_entry_bytes(void)
{
	g_test_message("%zu bytes an entry", claims_entry_bytes());
	g_assert_cmpuint(claims_entry_bytes(), <=, 256);
}

static void
test_unpack(void)
{
	static const char *const bad[] = {
		"{}",
		"{\"do\":\"grant\",\"try\":1,\"body\":\"0\",\"by\":\"0\"}",
		"{\"do\":\"claim\",\"try\":0,\"body\":\"0\",\"by\":\"0\"}",
		"{\"do\":\"claim\",\"try\":1,\"body\":\"x\",\"by\":\"0\"}",
		"{\"do\":\"settle\",\"try\":1,\"body\":\"0\",\"by\":\"0\"}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		json_auto_t *o = json_loads(bad[i], 0, NULL);
		struct claim cl;

		g_assert_nonnull(o);
		g_assert_false(claim_unpack(o, &cl));
	}
}

/* When a host leaves, only its own shards get another preferred writer. */
static void
test_preferred_writer(void)
{
	static const uint64_t ids[] = { 11, 22, 33, 44 };
	unsigned shards[G_N_ELEMENTS(ids)] = { 0 };

	for (uint32_t s = 0; s < 256; s++) {
		uint64_t all =
		    claims_preferred_writer(ids, G_N_ELEMENTS(ids), s);
		uint64_t less =
		    claims_preferred_writer(ids, G_N_ELEMENTS(ids) - 1, s);

		g_assert_true(all == less || all == 44);
		shards[all / 11 - 1]++;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		g_assert_cmpuint(shards[i], >, 32);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claims/decisions", test_decisions);
	g_test_add_func("/claims/retention", test_retention);
	g_test_add_func("/claims/old-key", test_old_key);
	g_test_add_func("/claims/entry-bytes", test_entry_bytes);
	g_test_add_func("/claims/unpack", test_unpack);
	g_test_add_func("/claims/preferred-writer", test_preferred_writer);
	return g_test_run();
}
