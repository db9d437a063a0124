/*
 * Tests of the quarantined sets of prompt parts: which requests they stop, for
 * how long, and that all hosts agree on them.
 */
#include "kernel/quarantine.h"

#include <inttypes.h>
#include <string.h>

#define SEC(t)  ((usec_t)(t)*USEC_PER_SEC)
#define NOW_MS  1000000
#define PARTS_1 "0000000000000001"
#define PARTS_2 "0000000000000001,0000000000000002"

/* Each character of a text is a part. */
static struct part_set
parts_of(const char *text)
{
	struct part_set out = { 0 };

	for (; *text != '\0'; text++)
		part_set_add(&out, (uint64_t)*text);
	return out;
}

static void
begin(struct quarantine *q, const char *parts, int64_t now_ms)
{
	struct part_set set = parts_of(parts);

	quarantine_begin(q, &set, QUARANTINE_FIRST_MS, now_ms, SEC(1));
}

static bool
answered(struct quarantine *q, const char *parts)
{
	struct part_set set = parts_of(parts);

	return quarantine_answered(q, &set, SEC(2));
}

/* What a request with the parts meets: r: rejected, e: ended, -: neither. */
static char
fate(const struct quarantine *q, const char *parts, int64_t now_ms)
{
	struct part_set set = parts_of(parts);

	if (quarantine_match(q, &set, now_ms) != NULL)
		return 'r';
	return quarantine_match_ended(q, &set, now_ms) != NULL ? 'e' : '-';
}

static const struct {
	const char *name;
	const char *quarantined, *answered;
	int64_t after_ms;
	const char *request;
	char fate;
} matches[] = {
	{ "all parts", "xs", "", 0, "fxs1", 'r' },
	{ "one of two parts", "xs", "", 0, "fx1", '-' },
	{ "no parts", "xs", "", 0, "", '-' },
	{ "a part of the set was answered", "xs", "fs", 0, "fx1", 'r' },
	{ "the answered part alone", "xs", "fs", 0, "fs1", '-' },
	{ "the whole set was answered", "xs", "fxs", 0, "fxs1", '-' },
	{ "just before its end", "x", "", QUARANTINE_FIRST_MS - 1, "x1", 'r' },
	{ "it has ended", "x", "", QUARANTINE_FIRST_MS, "x1", 'e' },
	{ "it ended long ago", "x", "", 2 * QUARANTINE_FIRST_MS, "x1", '-' },
};

static void
test_match(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(matches); i++) {
		struct quarantine q;

		g_test_message("%s", matches[i].name);
		quarantine_init(&q);
		begin(&q, matches[i].quarantined, NOW_MS);
		g_assert_cmpint(answered(&q, matches[i].answered), ==,
		    *matches[i].answered != '\0');
		g_assert_cmpint(
		    fate(&q, matches[i].request, NOW_MS + matches[i].after_ms),
		    ==, matches[i].fate);
		quarantine_free(&q);
	}
}

/* A set that crashes targets again is quarantined for longer each time. */
static void
test_again(void)
{
	struct quarantine q;
	int64_t now_ms = NOW_MS;
	int64_t length = QUARANTINE_FIRST_MS;

	quarantine_init(&q);
	for (int i = 0; i < 8; i++) {
		begin(&q, "x", now_ms);
		g_assert_cmpint(fate(&q, "x", now_ms + length - 1), ==, 'r');
		g_assert_cmpint(fate(&q, "x", now_ms + length), ==, 'e');
		now_ms += length;
		length = 2 * length < QUARANTINE_LONGEST_MS
		    ? 2 * length
		    : QUARANTINE_LONGEST_MS;
	}
	g_assert_null(quarantine_next_ended(&q, now_ms));
	g_assert_nonnull(
	    quarantine_next_ended(&q, now_ms + QUARANTINE_LONGEST_MS));
	quarantine_free(&q);
}

static const struct {
	const char *name;
	const char *id, *value;
	enum quarantine_result result;
} values[] = {
	{ "one part", "00000000000000aa", "1\t5\t600000\t" PARTS_1,
	    QUARANTINE_CHANGED },
	{ "two parts", "00000000000000aa", "1\t5\t600000\t" PARTS_2,
	    QUARANTINE_CHANGED },
	{ "lifted", "00000000000000aa", "1\t5\t600000\t", QUARANTINE_CHANGED },
	{ "empty", "00000000000000aa", "", QUARANTINE_MALFORMED },
	{ "no end", "00000000000000aa", "1", QUARANTINE_MALFORMED },
	{ "no length", "00000000000000aa", "1\t5", QUARANTINE_MALFORMED },
	{ "a negative end", "00000000000000aa", "1\t-5\t600000\t" PARTS_1,
	    QUARANTINE_MALFORMED },
	{ "an end beyond 63 bits", "00000000000000aa",
	    "1\t18446744073709551615\t600000\t" PARTS_1, QUARANTINE_MALFORMED },
	/* Its sum with the length wrapped. */
	{ "an end beyond 63 bits of microseconds", "00000000000000aa",
	    "1\t9223372036854775807\t600000\t" PARTS_1, QUARANTINE_MALFORMED },
	{ "too long", "00000000000000aa", "1\t5\t99999999999\t" PARTS_1,
	    QUARANTINE_MALFORMED },
	{ "a short part", "00000000000000aa", "1\t5\t600000\t1",
	    QUARANTINE_MALFORMED },
	{ "a part that is no number", "00000000000000aa",
	    "1\t5\t600000\t000000000000000g", QUARANTINE_MALFORMED },
	{ "a version that can't be increased", "00000000000000aa",
	    "9223372036854775807\t5\t600000\t" PARTS_1, QUARANTINE_MALFORMED },
	{ "an end that can't be renewed", "00000000000000aa",
	    "1\t9223372036854775807\t600000\t" PARTS_1, QUARANTINE_MALFORMED },
	{ "a bad id", "aa", "1\t5\t600000\t" PARTS_1, QUARANTINE_MALFORMED },
	{ "an empty id", "", "1\t5\t600000\t" PARTS_1, QUARANTINE_MALFORMED },
};

/* Values from the store; a good one is written as it was read. */
static void
test_values(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		struct str id = str_from(values[i].id);
		struct buf out = { 0 };
		struct quarantine q;

		g_test_message("%s", values[i].name);
		quarantine_init(&q);
		g_assert_cmpint(quarantine_read(&q, id,
				    str_from(values[i].value), true, SEC(1)),
		    ==, values[i].result);
		if (values[i].result == QUARANTINE_CHANGED) {
			quarantine_write(quarantine_find(&q, id), &out);
			g_assert_cmpstr(out.p, ==, values[i].value);
			g_assert_cmpint(
			    quarantine_read(&q, id, str_of(&out), true, SEC(1)),
			    ==, QUARANTINE_UNCHANGED);
			g_assert_true(quarantine_delete(&q, id));
		}
		g_assert_false(quarantine_delete(&q, id));
		buf_free(&out);
		quarantine_free(&q);
	}
}

/* No item of the store is in force for longer than it says. */
static void
test_end_far_away(void)
{
	static const struct {
		const char *name;
		int64_t until_ms;
		char fate;
	} cases[] = {
		{ "its length", NOW_MS + 600000, 'r' },
		{ "by a clock that is ahead", NOW_MS + 1200000, 'r' },
		{ "a day", NOW_MS + 86400000, '-' },
		{ "years", INT64_C(9000000000000000), '-' },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *value = g_strdup_printf(
		    "1\t%" PRId64 "\t600000\t" PARTS_1, cases[i].until_ms);
		struct quarantine q;

		g_test_message("%s", cases[i].name);
		quarantine_init(&q);
		g_assert_cmpint(quarantine_read(&q, STR("00000000000000aa"),
				    str_from(value), true, SEC(1)),
		    ==, QUARANTINE_CHANGED);
		g_assert_cmpint(fate(&q, "\x01", NOW_MS), ==, cases[i].fate);
		quarantine_free(&q);
	}
}

/* What another writer has put in the place of an entry is replaced. */
static void
test_replaced(void)
{
	struct str id = STR("00000000000000aa");
	struct quarantine q;

	quarantine_init(&q);
	quarantine_read(&q, id, STR("1\t5\t600000\t" PARTS_1), true, SEC(1));
	g_assert_null(quarantine_next_due(&q, 0, SEC(100)));
	g_assert_cmpint(quarantine_read(&q, id, STR("odd"), true, SEC(100)), ==,
	    QUARANTINE_MALFORMED);
	g_assert_nonnull(quarantine_next_due(&q, 0, SEC(102)));
	quarantine_free(&q);
}

/* Gives all entries of one host to another. */
static void
pass_on(const struct quarantine *from, struct quarantine *to, bool from_store)
{
	for (guint i = 0; i < from->entries->len; i++) {
		const struct quarantine_entry *e =
		    &g_array_index(from->entries, struct quarantine_entry, i);
		struct buf value = { 0 };

		quarantine_write(e, &value);
		quarantine_read(
		    to, str_from(e->id), str_of(&value), from_store, SEC(3));
		buf_free(&value);
	}
}

/*
 * Two hosts that learned of different answers agree, in whichever order they
 * hear of each other.
 */
static void
test_agreement(void)
{
	for (int order = 0; order < 2; order++) {
		struct quarantine a;
		struct quarantine b;

		quarantine_init(&a);
		quarantine_init(&b);
		begin(&a, "fsx", NOW_MS);
		pass_on(&a, &b, false);
		answered(&a, "f");
		answered(&b, "s");
		for (int round = 0; round < 3; round++) {
			pass_on(
			    order == 0 ? &a : &b, order == 0 ? &b : &a, false);
			pass_on(
			    order == 0 ? &b : &a, order == 0 ? &a : &b, false);
		}
		g_assert_cmpint(fate(&a, "x1", NOW_MS), ==, 'r');
		g_assert_cmpint(fate(&b, "x1", NOW_MS), ==, 'r');
		/* What was lifted at one host stays lifted at both. */
		answered(&a, "x");
		pass_on(&b, &a, true);
		pass_on(&a, &b, false);
		g_assert_cmpint(fate(&a, "fsx1", NOW_MS), ==, '-');
		g_assert_cmpint(fate(&b, "fsx1", NOW_MS), ==, '-');
		quarantine_free(&a);
		quarantine_free(&b);
	}
}

/*
 * An entry is sent at once by the first collector, later by the others, and
 * again until the store has it.
 */
static void
test_send(void)
{
	struct quarantine q;
	struct quarantine store;

	quarantine_init(&q);
	quarantine_init(&store);
	begin(&q, "x", NOW_MS);
	g_assert_null(quarantine_next_due(&q, 1, SEC(1)));
	g_assert_nonnull(quarantine_next_due(&q, 0, SEC(1)));
	g_assert_null(quarantine_next_due(&q, 0, SEC(1.5)));
	g_assert_nonnull(quarantine_next_due(&q, 0, SEC(2)));
	/* The pause doubles. */
	g_assert_null(quarantine_next_due(&q, 0, SEC(3)));
	g_assert_nonnull(quarantine_next_due(&q, 0, SEC(4)));
	/* Not when the store answers again. */
	quarantine_store_back(&q, SEC(5));
	g_assert_null(quarantine_next_due(&q, 0, SEC(5)));
	g_assert_nonnull(quarantine_next_due(&q, 0, SEC(6)));
	pass_on(&q, &store, true);
	pass_on(&store, &q, true);
	g_assert_null(quarantine_next_due(&q, 0, SEC(100)));
	/* A listing that does not have it: the store has lost it. */
	quarantine_list_begin(&q, SEC(100));
	g_assert_null(quarantine_next_due(&q, 0, SEC(100)));
	g_assert_nonnull(quarantine_next_due(&q, 0, SEC(101)));
	pass_on(&q, &store, true);
	pass_on(&store, &q, true);
	/* The store carries out a write of before late. */
	answered(&q, "z");
	begin(&q, "x", NOW_MS + QUARANTINE_FIRST_MS);
	pass_on(&q, &store, true);
	pass_on(&store, &q, true);
	g_assert_null(quarantine_next_due(&q, 0, SEC(200)));
	quarantine_free(&store);
	quarantine_init(&store);
	begin(&store, "x", NOW_MS);
	pass_on(&store, &q, true);
	g_assert_null(quarantine_next_due(&q, 0, SEC(3)));
	g_assert_nonnull(quarantine_next_due(&q, 0, SEC(4)));
	quarantine_free(&q);
	quarantine_free(&store);
}

/* What another host has sent is sent again only if the store doesn't get it. */
static void
test_sent_elsewhere(void)
{
	struct quarantine q;
	struct quarantine other;

	quarantine_init(&q);
	quarantine_init(&other);
	begin(&q, "x", NOW_MS);
	begin(&other, "x", NOW_MS);
	pass_on(&other, &q, false);
	g_assert_null(quarantine_next_due(&q, 1, SEC(4)));
	g_assert_nonnull(quarantine_next_due(&q, 1, SEC(5)));
	quarantine_free(&q);
	quarantine_free(&other);
}

/* Without room the set that ends first gives way. */
static void
test_bounds(void)
{
	struct quarantine q;
	struct part_set x = parts_of("x");

	quarantine_init(&q);
	begin(&q, "x", NOW_MS);
	for (int i = 0; i < 2 * QUARANTINE_MAX; i++) {
		struct part_set parts = { { 1000 + (uint64_t)i }, 1 };

		quarantine_begin(
		    &q, &parts, QUARANTINE_FIRST_MS, NOW_MS + 1 + i, SEC(1));
		g_assert_cmpuint(q.entries->len, <=, QUARANTINE_MAX);
		g_assert_nonnull(quarantine_match(&q, &parts, NOW_MS + 2 + i));
	}
	g_assert_null(quarantine_match(&q, &x, NOW_MS));
	quarantine_free(&q);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quarantine/match", test_match);
	g_test_add_func("/quarantine/again", test_again);
	g_test_add_func("/quarantine/values", test_values);
	g_test_add_func("/quarantine/end-far-away", test_end_far_away);
	g_test_add_func("/quarantine/replaced", test_replaced);
	g_test_add_func("/quarantine/agreement", test_agreement);
	g_test_add_func("/quarantine/send", test_send);
	g_test_add_func("/quarantine/sent-elsewhere", test_sent_elsewhere);
	g_test_add_func("/quarantine/bounds", test_bounds);
	return g_test_run();
}
