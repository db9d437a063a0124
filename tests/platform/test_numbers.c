/*
 * Numbers without bound in the configuration and in requests: they were
 * wrapped or cast into small and negative ones, and divided by.
 */
#include "kernel/overload/batch.h"
#include "platform/config.h"
#include "platform/request.h"

#include <glib.h>
#include <string.h>

/* Larger times and sizes would overflow in sums and products. */
#define MAX_TIME  (INT64_MAX / 1000)
#define MAX_BYTES (1ULL << 40)
#define DAY       (24 * 3600 * USEC_PER_SEC)
#define TOKENS    (1U << 24)
/* With ' for ". */
static const char doc[] =
    "{'Version':7,'Services':[{'Name':'s','MaxConns':9},{'Name':'p',"
    "'MaxConns':9,'Pieces':{'Slots':1,'Queue':2,'Batch':18,'CallMs':240.0,"
    "'ItemMs':11.0,'HeadroomMb':22.0,'HandleS':4.0}}],'Limits':{"
    "'MaxHeaderBytes':16384,'MaxBodyBytes':1000,'HeaderTimeoutMs':3000,"
    "'IdleTimeoutMs':15000},'Routes':[{'Name':'r','Host':'A.example',"
    "'Prefix':'/x/','TimeoutMs':1200.5,'SloMs':100,'Attempts':2,"
    "'Kind':'streaming','Priority':1,'GapTargetMs':9,"
    "'Split':[{'Service':'s','Weight':1}],"
    "'Stages':[{'Service':'p','After':[],'Bytes':10}]}]}";

/* Plans calls of a pool: divides by its numbers. */
static void
plan_calls(const struct pool_config *config)
{
	struct batch b;
	struct batch_target t = { .free_bytes = UINT64_MAX };
	struct target_speed speed = { .measured_at = 1, .slowness = 9 };
	struct target_speeds speeds =
	    target_speeds_of((double[]){ 1, 1, 9 }, 3, 0);
	struct batch_item it = { .owner = &b, .deadline = INT64_MAX / 2 };
	g_autoptr(GArray) out =
	    g_array_new(FALSE, FALSE, sizeof(struct batch_item));

	batch_init(&b, config);
	for (; it.piece < 5; it.piece++)
		batch_add(&b, &it);
	batch_plan_speed(&b, &speed, &speeds, 2, 1, &t);
	g_assert_true(batch_admits(&b, 2, &it, 1));
	g_assert_cmpint(batch_estimate(&b, 2, &it, 1), >, 0);
	t.use = TARGET_USE;
	batch_take(&b, 1, 2, &t, out);
	g_assert_cmpuint(out->len, >, 0);
	g_assert_cmpint(batch_call_timeout(&b, out->len), >, 0);
	batch_free(&b);
}

/* Numbers without bound in the configuration are cut. */
static void
test_config_numbers(void)
{
	static const struct {
		const char *field, *value;
	} cases[] = {
		{ "'Batch':18", "'Batch':4294967296" },
		{ "'Batch':18", "'Batch':2147483648" },
		{ "'Batch':18", "'Batch':9223372036854775807" },
		{ "'Slots':1", "'Slots':4294967296" },
		{ "'CallMs':240.0,'ItemMs':11.0", "'CallMs':0,'ItemMs':0" },
		{ "'CallMs':240.0", "'CallMs':1e300" },
		{ "'ItemMs':11.0", "'ItemMs':1e300" },
		{ "'HandleS':4.0", "'HandleS':1e300" },
		{ "'HeadroomMb':22.0", "'HeadroomMb':1e300" },
		{ "'Bytes':10", "'Bytes':9223372036854775807" },
		{ "'TimeoutMs':1200.5", "'TimeoutMs':1e300" },
		{ "'SloMs':100", "'SloMs':1e300" },
		{ "'GapTargetMs':9", "'GapTargetMs':1e300" },
		{ "'Attempts':2", "'Attempts':4294967296" },
		{ "'Priority':1", "'Priority':4294967295" },
		{ "'Weight':1", "'Weight':4294967296" },
		{ "'MaxConns':9", "'MaxConns':4294967296" },
		{ "'MaxHeaderBytes':16384",
		    "'MaxHeaderBytes':9223372036854775807" },
		{ "'MaxBodyBytes':1000", "'MaxBodyBytes':9223372036854775807" },
		{ "'HeaderTimeoutMs':3000", "'HeaderTimeoutMs':1e300" },
		{ "'IdleTimeoutMs':15000", "'IdleTimeoutMs':1e300" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GString) text = g_string_new(doc);
		struct err e = { 0 };
		struct routes *t;
		const struct route *r;
		const struct service *s;

		g_test_message("%s", cases[i].value);
		g_assert_cmpuint(
		    g_string_replace(text, cases[i].field, cases[i].value, 0),
		    >, 0);
		g_strdelimit(text->str, "'", '"');
		t = platform_config_parse(str_from(text->str), &e);
		g_assert_nonnull(t);
		r = routes_find(t, STR("a.example"), STR("/x/1"));
		g_assert_nonnull(r);
		s = routes_service_at(t, r->stages[0].service);
		plan_calls(&s->pool);
		g_assert_true(
		    s->pool.slots > 0 && s->pool.result_bytes <= MAX_BYTES);
		g_assert_true(
		    s->pool.result_ttl > 0 && s->pool.result_ttl <= MAX_TIME);
		g_assert_cmpuint(r->stages[0].bytes, <=, MAX_BYTES);
		g_assert_true(r->timeout > 0 && r->timeout <= MAX_TIME);
		g_assert_true(r->objective > 0 && r->objective <= MAX_TIME);
		g_assert_true(r->first_event_limit > 0 && r->max_event_gap > 0);
		g_assert_true(r->attempts > 0 && r->rank > 0);
		g_assert_cmpuint(r->shares[0].weight, >, 0);
		g_assert_cmpuint(s->max_conns, >, 0);
		g_assert_cmpuint(t->head_bytes, <=, MAX_BYTES);
		g_assert_cmpuint(t->body_bytes, <=, MAX_BYTES);
		g_assert_true(t->head_timeout > 0 && t->idle_timeout > 0);
		routes_unref(t);
	}
}

#define HEAD "POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: ab\r\n"

/* Numbers without bound are cut, not wrapped into small or negative ones. */
static void
test_request_numbers(void)
{
	static const struct {
		const char *more;
		usec_t budget;
		uint32_t prompt, output, part;
	} cases[] = {
		{ "X-Deadline-Ms: 1500\r\n", 1500 * USEC_PER_MSEC, 0, 0, 0 },
		{ "X-Deadline-Ms: 9223372036854775807\r\n", DAY, 0, 0, 0 },
		{ "X-Deadline-Ms: 18446744073709551615\r\n", DAY, 0, 0, 0 },
		{ "X-Deadline-Ms: 18446744073709551616\r\n", 0, 0, 0, 0 },
		{ "X-Token-Count: 4294967297,8589934592\r\n", 0, TOKENS, TOKENS,
		    0 },
		{ "X-Prefix-Hash: a:4294967295\r\n", 0, 0, 0, TOKENS },
		{ "X-Prefix-Hash: a:4294967297\r\n", 0, 0, 0, TOKENS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strconcat(
		    HEAD, cases[i].more, "Content-Length: 0\r\n\r\n", NULL);
		struct evbuffer *in = evbuffer_new();
		struct httpmsg m;
		struct request_info f;

		httpmsg_init(&m, HTTP_REQUEST, 65536);
		evbuffer_add(in, text, strlen(text));
		httpmsg_feed(&m, in);
		evbuffer_free(in);
		g_assert_true(platform_request_parse(&m, &f));
		g_assert_cmpint(f.deadline_budget, ==, cases[i].budget);
		g_assert_cmpuint(f.prompt_tokens, ==, cases[i].prompt);
		g_assert_cmpuint(f.output_tokens, ==, cases[i].output);
		g_assert_cmpuint(f.parts[0].tokens, ==, cases[i].part);
		httpmsg_free(&m);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/numbers/config", test_config_numbers);
	g_test_add_func("/numbers/request", test_request_numbers);
	return g_test_run();
}
