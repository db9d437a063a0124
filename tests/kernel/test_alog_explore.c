/*
 * Explores all interleavings of two writers with three requests, over a network
 * that loses, duplicates, delays and reorders messages.  This includes a paused
 * writer, whose messages are delayed while the other writer continues.
 *
 * Guards against lost, duplicated or reordered records, and against two grants
 * of one key, which races of two writers at the key-value service could cause.
 */
#include "explore_writer.h"

#include <glib.h>
#include <string.h>

#define MAX_MESSAGES 10
#define MAX_KEYS     10
#define MAX_DEPTH    128
#define KEY_1        "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
#define KEY_3        "017f22e2-79b0-7cc3-98c4-dc0c0c073991"
#define KEY_2        "017f22e2-79b0-7cc3-98c4-dc0c0c073990"

enum message_kind {
	MESSAGE_NONE,
	MESSAGE_REQUEST,
	MESSAGE_RESPONSE,
	MESSAGE_WATCH, /* a watch event, possibly late */
	MESSAGE_LATE   /* a request whose response is not awaited */
};

struct message {
	uint16_t kind;
	uint16_t writer;
	struct sent_request sent;
	uint16_t status;
	uint16_t revision;
	uint16_t value;
};

struct slot {
	uint16_t key;
	uint16_t value;
	uint16_t revision;
};

/* The state of the model; compared byte by byte. */
struct model_state {
	int nodes[N_WRITERS];
	struct message net[MAX_MESSAGES];
	struct slot store[MAX_KEYS];
	uint16_t committed[MAX_SERIAL]; /* payloads in the log, by serial */
	uint16_t revision;
	uint8_t submitted[N_REQUESTS];
	uint8_t losses;
	uint8_t duplicates;
	uint8_t watches;
};

static const struct scenario *scenario;
static GHashTable *visited;
static uint16_t payloads[N_REQUESTS];
static const char *violation;
static size_t n_final;
static const char *trace[MAX_DEPTH];

static void explore(const struct model_state *st, size_t depth);

static void
report_violation(const char *what)
{
	if (violation == NULL)
		violation = what;
}

static int
compare_messages(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(struct message));
}

static void
net_add(struct model_state *st, struct message m)
{
	size_t i = 0;

	while (i < MAX_MESSAGES && st->net[i].kind != MESSAGE_NONE)
		i++;
	g_assert_cmpuint(i, <, MAX_MESSAGES);
	st->net[i] = m;
}

static struct slot *
store_find(struct model_state *st, uint16_t key)
{
	struct slot *empty = NULL;

	for (size_t i = 0; i < MAX_KEYS; i++) {
		if (st->store[i].key == key)
			return &st->store[i];
		if (empty == NULL && st->store[i].key == 0)
			empty = &st->store[i];
	}
	g_assert_nonnull(empty);
	return empty;
}

/* Records that a payload is committed at a serial. */
static void
mark_committed(struct model_state *st, uint64_t serial, uint16_t payload)
{
	g_assert_cmpuint(serial, <, MAX_SERIAL);
	if (st->committed[serial] != 0 && st->committed[serial] != payload)
		report_violation("a record was lost: its place was taken");
	st->committed[serial] = payload;
}

static void
mark_committed_head(struct model_state *st, uint16_t value)
{
	json_auto_t *head = json_loads(interned(value).p, 0, NULL);
	const json_t *newest = json_object_get(head, "newest");

	for (size_t i = 0; i < json_array_size(newest); i++) {
		const json_t *r = json_array_get(newest, i);
		g_autofree char *p =
		    json_dumps(json_object_get(r, "p"), JSON_COMPACT);

		mark_committed(st,
		    (uint64_t)json_integer_value(json_object_get(r, "s")),
		    intern(str_from(p)));
	}
}

/* Carries out a request at the key-value service and sets the response. */
static void
store_do(struct model_state *st, struct message *m)
{
	struct slot *s = store_find(st, m->sent.key);
	bool swap = m->sent.kind == ALOG_SWAP;

	m->status = ALOG_OK;
	switch ((enum alog_request_kind)m->sent.kind) {
	case ALOG_GET:
		m->status = s->key != 0 ? ALOG_OK : ALOG_MISSING;
		m->value = s->value;
		break;
	case ALOG_DELETE:
		*s = (struct slot){ 0 };
		return;
	case ALOG_SWAP:
	case ALOG_CREATE:
		if (s->revision != m->sent.revision &&
		    !(swap && scenario->variant == VARIANT_NO_COMPARE)) {
			m->status = ALOG_CONFLICT;
			return;
		}
		*s =
		    (struct slot){ m->sent.key, m->sent.value, ++st->revision };
		if (swap)
			mark_committed_head(st, s->value);
		break;
	}
	m->revision = s->revision;
}

/* Checks the invariants of one writer. */
static void
check_writer(const struct model_state *st, const struct node *n)
{
	if (n->out_of_order)
		report_violation("a record was applied twice or out of order");
	for (size_t s = 1; s < MAX_SERIAL; s++) {
		if (n->applied[s] == 0)
			continue;
		if (scenario->variant != VARIANT_NUMBERED &&
		    n->applied[s] != st->committed[s])
			report_violation("writers apply different records");
		if (s > 1 && n->applied[s - 1] == 0 &&
		    st->committed[s - 1] == 0)
			report_violation("serials are not dense");
	}
}

/*
 * Checks that the result of a request agrees with the committed records, and
 * that its record is committed at most once.
 */
static void
check_request(const struct model_state *st, const struct node *n, unsigned i)
{
	uint16_t payload = payloads[i];
	unsigned times = 0;

	for (size_t s = 1; s < MAX_SERIAL; s++)
		times += st->committed[s] == payload;
	if (times > 1)
		report_violation("a record is in the log twice");
	if (n->accepted[i] != 0 && st->committed[n->accepted[i]] != payload)
		report_violation("an accepted record is not in the log");
	if (n->answered[i] && n->accepted[i] == 0 && times > 0)
		report_violation("a record was denied and is in the log");
}

static bool
has_result(const struct model_state *st, unsigned i, enum claim_result r)
{
	const struct node *n =
	    writers_node(st->nodes[scenario->requests[i].writer]);

	return n->answered[i] && n->result[i] == r;
}

/* Checks the results of two requests for the same key. */
static void
check_pair(const struct model_state *st, unsigned i, unsigned j)
{
	const struct writer_request *a = &scenario->requests[i];
	const struct writer_request *b = &scenario->requests[j];

	if (i == j || strcmp(a->key, b->key) != 0 ||
	    !has_result(st, i, CLAIM_GRANTED))
		return;
	if (has_result(st, j, CLAIM_GRANTED))
		report_violation("a key was granted twice");
	if (has_result(st, j, CLAIM_REFUSED) && a->attempt <= b->attempt)
		report_violation("a refused attempt was granted");
}

/*
 * In a final state (no request or response in flight, all requests submitted)
 * every request must have a result.
 */
static void
check_final(const struct model_state *st)
{
	for (size_t i = 0; i < MAX_MESSAGES; i++) {
		if (st->net[i].kind == MESSAGE_REQUEST ||
		    st->net[i].kind == MESSAGE_RESPONSE)
			return;
	}
	for (unsigned i = 0; i < N_REQUESTS; i++) {
		if (!st->submitted[i])
			return;
	}
	n_final++;
	for (unsigned i = 0; i < N_REQUESTS; i++) {
		const struct node *n =
		    writers_node(st->nodes[scenario->requests[i].writer]);

		if (!n->answered[i] || n->result[i] == CLAIM_UNAVAILABLE)
			report_violation("a request got no decision");
	}
}

static void
check(const struct model_state *st)
{
	for (size_t i = 0; i < N_WRITERS; i++)
		check_writer(st, writers_node(st->nodes[i]));
	for (unsigned i = 0; i < N_REQUESTS; i++) {
		if (scenario->variant != VARIANT_NUMBERED)
			check_request(st,
			    writers_node(
				st->nodes[scenario->requests[i].writer]),
			    i);
		for (unsigned j = 0; j < N_REQUESTS; j++)
			check_pair(st, i, j);
	}
	check_final(st);
}

/* Delivers an event to a writer and sends the requests that it returns. */
static void
deliver_writer_event(
    struct model_state *st, unsigned writer, const struct writer_event *ev)
{
	const struct node *n;

	st->nodes[writer] = writers_next(st->nodes[writer], ev);
	n = writers_node(st->nodes[writer]);
	for (size_t i = 0; i < n->n_sent; i++)
		net_add(st,
		    (struct message){ .kind = n->sent[i].kind == ALOG_DELETE
			    ? MESSAGE_LATE
			    : MESSAGE_REQUEST,
			.writer = (uint16_t)writer,
			.sent = n->sent[i] });
}

static void
deliver_response(
    struct model_state *st, const struct message *m, enum alog_status status)
{
	struct writer_event ev = { .kind = WRITER_EVENT_RESPONSE,
		.id = m->sent.id,
		.status = (uint16_t)status };

	if (status == ALOG_OK) {
		ev.revision = m->revision;
		ev.value = m->value;
	}
	deliver_writer_event(st, m->writer, &ev);
}

static void
submit_request(struct model_state *st, uint16_t i)
{
	struct writer_event ev = { .kind = WRITER_EVENT_REQUEST,
		.req_index = i };

	st->submitted[i] = 1;
	deliver_writer_event(st, scenario->requests[i].writer, &ev);
}

static void
explore_next(struct model_state *st, size_t depth, const char *what)
{
	g_assert_cmpuint(depth, <, MAX_DEPTH);
	trace[depth] = what;
	qsort(st->net, MAX_MESSAGES, sizeof(st->net[0]), compare_messages);
	explore(st, depth + 1);
}

/* Delivers a message. */
static void
deliver_message(struct model_state *st, struct message m)
{
	struct writer_event ev = { .kind = WRITER_EVENT_WATCH,
		.revision = m.revision,
		.value = m.value };

	switch ((enum message_kind)m.kind) {
	case MESSAGE_NONE:
		break;
	case MESSAGE_REQUEST:
		store_do(st, &m);
		m.kind = MESSAGE_RESPONSE;
		net_add(st, m);
		break;
	case MESSAGE_LATE:
		store_do(st, &m);
		break;
	case MESSAGE_RESPONSE:
		deliver_response(st, &m, (enum alog_status)m.status);
		break;
	case MESSAGE_WATCH:
		deliver_writer_event(st, m.writer, &ev);
		break;
	}
}

/* Explores everything that can happen to one message. */
static void
explore_message(const struct model_state *st, size_t i, size_t depth)
{
	static const char *const arrivals[] = { "", "a request arrives",
		"a response arrives", "a watch event arrives",
		"a late request arrives" };
	const struct message m = st->net[i];
	struct message late = m;
	struct model_state base = *st;
	struct model_state next;

	base.net[i] = (struct message){ 0 };
	next = base;
	deliver_message(&next, m);
	explore_next(&next, depth,
	    arrivals[m.kind <= MESSAGE_LATE ? m.kind : MESSAGE_NONE]);
	late.kind = MESSAGE_LATE;
	if (m.kind == MESSAGE_REQUEST && st->duplicates > 0) {
		next = *st;
		next.duplicates--;
		net_add(&next, late);
		explore_next(&next, depth, "a request is duplicated");
	}
	if ((m.kind != MESSAGE_REQUEST && m.kind != MESSAGE_RESPONSE) ||
	    st->losses == 0)
		return;
	base.losses--;
	next = base;
	deliver_response(&next, &m, ALOG_LOST);
	explore_next(&next, depth, "a message is lost");
	if (m.kind == MESSAGE_REQUEST) {
		next = base;
		net_add(&next, late);
		deliver_response(&next, &m, ALOG_LOST);
		explore_next(
		    &next, depth, "a request times out and is delayed");
	}
}

/* Explores sending the current head to a watcher. */
static void
explore_watch(const struct model_state *st, uint16_t writer, size_t depth)
{
	struct model_state next = *st;
	const struct slot *head = store_find(&next, intern(STR(HEAD_KEY)));

	if (st->watches == 0 || head->key == 0)
		return;
	next.watches--;
	net_add(&next,
	    (struct message){ .kind = MESSAGE_WATCH,
		.writer = writer,
		.revision = head->revision,
		.value = head->value });
	explore_next(&next, depth, "a watch event is sent");
}

static void
explore(const struct model_state *st, size_t depth)
{
	struct model_state next;

	if (violation != NULL || g_hash_table_contains(visited, st))
		return;
	g_hash_table_add(visited, g_memdup2(st, sizeof(*st)));
	check(st);
	for (uint16_t i = 0; i < N_REQUESTS && violation == NULL; i++) {
		if (st->submitted[i])
			continue;
		next = *st;
		submit_request(&next, i);
		explore_next(&next, depth, "a request is submitted");
	}
	for (size_t i = 0; i < MAX_MESSAGES && violation == NULL; i++) {
		if (st->net[i].kind != MESSAGE_NONE)
			explore_message(st, i, depth);
	}
	for (uint16_t i = 0; i < N_WRITERS && violation == NULL; i++)
		explore_watch(st, i, depth);
	if (violation != NULL)
		g_test_message("  at depth %zu: %s", depth, trace[depth]);
}

static guint
state_hash(gconstpointer p)
{
	return (guint)hash_u64(
	    (struct str){ p, sizeof(struct model_state) }, 0);
}

static gboolean
state_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct model_state)) == 0;
}

/* Long enough that the newest record alone makes sealing due. */
#define OLD_PAYLOAD \
	"{\"old\":" \
	"\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"}"
#define OLD_HEAD                                                        \
	"{\"version\":1,\"serial\":2,\"first\":1,\"newest\":[{\"s\":2," \
	"\"w\":\"x\",\"n\":2,\"t\":1645557742000000,\"p\":" OLD_PAYLOAD \
	"}],\"segments\":[{\"name\":\"log/x\",\"first\":1,\"last\":1,"  \
	"\"time\":0}]}"
#define OLD_SEGMENT                                                        \
	"{\"version\":1,\"newest\":[{\"s\":1,\"w\":\"x\",\"n\":1,\"t\":0," \
	"\"p\":" OLD_PAYLOAD "}]}"

/* Sets up a log whose first segment retention will drop. */
static void
put_old_segment(struct model_state *st)
{
	st->store[0] = (struct slot){ intern(STR(HEAD_KEY)),
		intern(STR(OLD_HEAD)), ++st->revision };
	st->store[1] = (struct slot){ intern(STR("log/x")),
		intern(STR(OLD_SEGMENT)), ++st->revision };
	st->committed[1] = intern(STR(OLD_PAYLOAD));
	mark_committed_head(st, st->store[0].value);
}

/* Explores a scenario completely; returns the first violation, or NULL. */
static const char *
explore_all(const struct scenario *s)
{
	struct writer_event start = { .kind = WRITER_EVENT_START };
	struct model_state st;

	memset(&st, 0, sizeof(st));
	scenario = s;
	violation = NULL;
	n_final = 0;
	visited = g_hash_table_new_full(state_hash, state_equal, g_free, NULL);
	writers_begin(s);
	for (unsigned i = 0; i < N_REQUESTS; i++)
		payloads[i] = request_payload(&s->requests[i], i);
	st.losses = s->losses;
	st.duplicates = s->duplicates;
	st.watches = s->watches;
	if (s->old_segment)
		put_old_segment(&st);
	for (int i = 0; i < N_WRITERS; i++) {
		st.nodes[i] = -1 - i;
		deliver_writer_event(&st, (unsigned)i, &start);
	}
	for (uint16_t i = 0; i < s->n_early; i++)
		submit_request(&st, i);
	explore(&st, 0);
	g_test_message("%s: %u states, %zu final, %s", s->name,
	    g_hash_table_size(visited), n_final,
	    violation != NULL ? violation : "no violation");
	writers_end();
	g_hash_table_destroy(visited);
	return violation;
}

#define CLAIM(writer, key, n) \
	((struct writer_request){ writer, CLAIM_STEP_CLAIM, key, n })
#define REFUSE(writer, key, n) \
	((struct writer_request){ writer, CLAIM_STEP_REFUSE, key, n })

static void
test_log(void)
{
	static const struct scenario cases[] = {
		{ "losses", VARIANT_LOG,
		    { CLAIM(0, KEY_1, 1), CLAIM(1, KEY_1, 1),
			REFUSE(1, KEY_1, 1) },
		    .losses = 1 },
		{ "two losses", VARIANT_LOG,
		    { CLAIM(0, KEY_1, 1), REFUSE(1, KEY_1, 1),
			CLAIM(1, KEY_1, 2) },
		    .n_early = 3, .losses = 2 },
		{ "losses and duplicates", VARIANT_LOG,
		    { CLAIM(0, KEY_1, 1), REFUSE(1, KEY_1, 1),
			CLAIM(1, KEY_1, 2) },
		    .n_early = 3, .losses = 1, .duplicates = 1 },
		{ "watches", VARIANT_LOG,
		    { CLAIM(0, KEY_1, 1), REFUSE(1, KEY_1, 1),
			CLAIM(0, KEY_2, 1) },
		    .watches = 1 },
		{ "sealing and retention", VARIANT_LOG,
		    { CLAIM(0, KEY_1, 1), CLAIM(1, KEY_1, 1),
			CLAIM(1, KEY_2, 1) },
		    .n_early = 2, .old_segment = true, .n_sealers = 2 },
		{ "only one seals", VARIANT_LOG,
		    { CLAIM(0, KEY_1, 1), REFUSE(1, KEY_3, 1),
			CLAIM(1, KEY_2, 1) },
		    .n_early = 2, .old_segment = true, .n_sealers = 1 },
		{ "sealing and retention, losses", VARIANT_LOG,
		    { CLAIM(0, KEY_1, 1), CLAIM(1, KEY_1, 1),
			REFUSE(0, KEY_1, 1) },
		    .n_early = 3, .old_segment = true, .n_sealers = 2,
		    .losses = 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpstr(explore_all(&cases[i]), ==, NULL);
}

/*
 * Two unsafe variants must be detected: a store that ignores the expected
 * revision, and numbered segments instead of a head.
 */
static void
test_unsafe_variants(void)
{
	static const struct {
		struct scenario s;
		const char *found;
	} cases[] = {
		{ { "a swap without comparison", VARIANT_NO_COMPARE,
		      { CLAIM(0, KEY_1, 1), CLAIM(1, KEY_1, 1),
			  CLAIM(1, KEY_2, 1) } },
		    "a record was lost: its place was taken" },
		{ { "numbered segments created if absent", VARIANT_NUMBERED,
		      { CLAIM(0, KEY_1, 1), CLAIM(1, KEY_1, 1),
			  CLAIM(1, KEY_2, 1) } },
		    "a key was granted twice" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpstr(explore_all(&cases[i].s), ==, cases[i].found);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/alog-explore/log", test_log);
	g_test_add_func("/alog-explore/unsafe-variants", test_unsafe_variants);
	return g_test_run();
}
