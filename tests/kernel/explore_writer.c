#include "explore_writer.h"

#include <glib.h>
#include <string.h>

#define MAX_HISTORY 128
#define RETENTION   (3600 * USEC_PER_SEC)

static const struct scenario *scenario;
static GArray *nodes;
static GHashTable *node_ids;

/* A writer while events are replayed; numbered is for VARIANT_NUMBERED only. */
struct writer {
	unsigned self;
	struct alog *log;
	struct claims *claims;
	struct node *out;
	struct {
		bool waiting[N_REQUESTS];
		unsigned next; /* number of the next segment to read */
		unsigned ids;
		int creating; /* request being recorded, or -1 */
		bool busy;
	} numbered;
};

uint16_t
intern(struct str s)
{
	g_autofree char *text = g_strndup(s.p, s.n);
	GQuark id = g_quark_from_string(text);

	g_assert_cmpuint(id, <, UINT16_MAX);
	return (uint16_t)id;
}

struct str
interned(uint16_t id)
{
	return id != 0 ? str_from(g_quark_to_string(id)) : (struct str){ 0 };
}

static struct claim
request_claim(const struct writer_request *r, unsigned i)
{
	static const char *const ids[N_REQUESTS] = { "r0", "r1", "r2" };

	return (struct claim){ .step = r->step,
		.workspace = STR("w"),
		.pipeline = STR("p"),
		.key = str_from(r->key),
		.attempt = r->attempt,
		.holder = r->writer + 1,
		.request_id = str_from(ids[i]) };
}

static uint16_t
intern_json(const json_t *o)
{
	g_autofree char *text = json_dumps(o, JSON_COMPACT);

	return intern(str_from(text));
}

uint16_t
request_payload(const struct writer_request *r, unsigned i)
{
	struct claim cl = request_claim(r, i);
	json_auto_t *o = claim_pack(&cl);

	return intern_json(o);
}

/* The node of the writer that is running. */
static struct node *current_node;

static void
apply(void *claims, const json_t *payload, uint64_t serial)
{
	g_assert_cmpuint(serial, <, MAX_SERIAL);
	for (uint64_t s = serial; s < MAX_SERIAL; s++)
		current_node->out_of_order |= current_node->applied[s] != 0;
	current_node->applied[serial] = intern_json(payload);
	claims_ops.apply(claims, payload, serial);
}

static void
complete_request(struct writer *w, const struct alog_completion *d)
{
	struct claim cl =
	    request_claim(&scenario->requests[d->tag], (unsigned)d->tag);

	g_assert_false(w->out->answered[d->tag]);
	w->out->answered[d->tag] = true;
	w->out->result[d->tag] = claims_verdict(w->claims, &cl, d).result;
	if (d->result == ALOG_ACCEPTED)
		w->out->accepted[d->tag] = d->serial;
}

static void
emit(struct writer *w, const struct alog_request *r)
{
	g_assert_cmpuint(w->out->n_sent, <, MAX_OUT);
	w->out->sent[w->out->n_sent++] = (struct sent_request){
		.kind = (uint16_t)r->kind,
		.id = (uint16_t)r->id,
		.key = intern(str_from(r->key)),
		.revision = (uint16_t)r->revision,
		.value = r->value.n > 0 ? intern(str_of(&r->value)) : 0,
	};
}

static void
log_step(struct writer *w, const struct writer_event *ev)
{
	static struct alog_ops ops;
	struct alog_opts o = { .key = HEAD_KEY,
		.incarnation = w->self + 1,
		.seal_bytes =
		    w->self < scenario->n_sealers ? 1 : ALOG_MAX_PAYLOAD,
		.batch_bytes = ALOG_MAX_PAYLOAD,
		.ops = &ops,
		.arg = w->claims };
	struct alog_response a = { .id = ev->id,
		.status = (enum alog_status)ev->status,
		.revision = ev->revision,
		.value = interned(ev->value) };
	struct alog_request r;
	struct alog_completion d;
	struct claim cl;
	json_t *payload;

	switch ((enum writer_event_kind)ev->kind) {
	case WRITER_EVENT_START:
		ops = claims_ops;
		ops.apply = apply;
		w->log = alog_new(&o);
		break;
	case WRITER_EVENT_REQUEST:
		cl = request_claim(
		    &scenario->requests[ev->req_index], ev->req_index);
		payload = claim_pack(&cl);
		alog_append(w->log, ev->req_index, claims_conflict_key(&cl),
		    NOW, payload);
		json_decref(payload);
		break;
	case WRITER_EVENT_RESPONSE:
		alog_response(w->log, &a);
		break;
	case WRITER_EVENT_WATCH:
		alog_watch_event(w->log, ev->revision, interned(ev->value));
		break;
	}
	while (alog_request(w->log, &r)) {
		emit(w, &r);
		alog_request_free(&r);
	}
	while (alog_completion(w->log, &d))
		complete_request(w, &d);
	g_assert_null(alog_error(w->log));
}

static void
numbered_send(
    struct writer *w, enum alog_request_kind kind, unsigned n, uint16_t value)
{
	struct alog_request r = { .kind = kind, .id = ++w->numbered.ids };

	r.key = g_strdup_printf("log/%u", n);
	if (value != 0)
		buf_put(&r.value, interned(value));
	emit(w, &r);
	g_free(r.key);
	buf_free(&r.value);
	w->numbered.busy |= kind != ALOG_DELETE;
}

/*
 * The next segment does not exist: creates it with the first record that is
 * admitted.
 */
static void
numbered_create(struct writer *w)
{
	for (unsigned i = 0; i < N_REQUESTS; i++) {
		struct claim cl = request_claim(&scenario->requests[i], i);
		struct alog_completion d = { .tag = i, .result = ALOG_DENIED };
		struct claim_verdict v;

		if (!w->numbered.waiting[i])
			continue;
		if (claims_decide(w->claims, &cl, &v)) {
			w->numbered.creating = (int)i;
			numbered_send(w, ALOG_CREATE, w->numbered.next,
			    request_payload(&scenario->requests[i], i));
			return;
		}
		w->numbered.waiting[i] = false;
		d.code = (int)v.result + 1;
		complete_request(w, &d);
	}
}

static void
numbered_apply(struct writer *w, uint16_t value)
{
	json_auto_t *payload = json_loads(interned(value).p, 0, NULL);

	apply(w->claims, payload, w->numbered.next++);
}

static void
numbered_response(struct writer *w, const struct writer_event *ev)
{
	int i = w->numbered.creating;
	struct alog_completion d = { .tag = (uint64_t)i,
		.result = ALOG_ACCEPTED };

	w->numbered.creating = -1;
	if (i < 0 && ev->status == ALOG_OK) {
		numbered_apply(w, ev->value);
	} else if (i < 0) {
		numbered_create(w);
	} else if (ev->status == ALOG_OK) {
		d.serial = w->numbered.next;
		numbered_apply(
		    w, request_payload(&scenario->requests[i], (unsigned)i));
		w->numbered.waiting[i] = false;
		complete_request(w, &d);
		if (d.serial > 1)
			numbered_send(w, ALOG_DELETE, w->numbered.next - 2, 0);
	}
}

/*
 * The variant with numbered segments, of one record each.  It is unsafe: a
 * writer that lags finds a deleted segment missing and creates it again, from a
 * decision on outdated state.
 */
static void
numbered_step(struct writer *w, const struct writer_event *ev)
{
	bool waiting = false;

	if (ev->kind == WRITER_EVENT_START) {
		w->numbered.next = 1;
		w->numbered.creating = -1;
	} else if (ev->kind == WRITER_EVENT_REQUEST) {
		w->numbered.waiting[ev->req_index] = true;
	} else {
		w->numbered.busy = false;
		numbered_response(w, ev);
	}
	for (size_t i = 0; i < N_REQUESTS; i++)
		waiting |= w->numbered.waiting[i];
	if (waiting && !w->numbered.busy)
		numbered_send(w, ALOG_GET, w->numbered.next, 0);
}

/*
 * Replays a writer's history up to the event of out, which then holds the state
 * and the requests that were sent on that event.
 */
static void
run(struct node *out)
{
	struct writer_event history[MAX_HISTORY];
	struct writer w = { .out = out, .claims = claims_new() };
	size_t n = 0;
	int at = out->parent;

	history[n++] = out->event;
	for (; at >= 0; at = writers_node(at)->parent) {
		g_assert_cmpuint(n, <, MAX_HISTORY);
		history[n++] = writers_node(at)->event;
	}
	w.self = (unsigned)(-1 - at);
	current_node = out;
	claims_tick(w.claims, NOW, RETENTION);
	while (n-- > 0) {
		out->n_sent = 0;
		if (scenario->variant == VARIANT_NUMBERED)
			numbered_step(&w, &history[n]);
		else
			log_step(&w, &history[n]);
	}
	alog_free(w.log);
	claims_free(w.claims);
}

void
writers_begin(const struct scenario *s)
{
	scenario = s;
	nodes = g_array_new(FALSE, TRUE, sizeof(struct node));
	node_ids = g_hash_table_new_full(
	    g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
}

void
writers_end(void)
{
	g_array_free(nodes, TRUE);
	g_hash_table_destroy(node_ids);
}

const struct node *
writers_node(int id)
{
	return &g_array_index(nodes, struct node, id);
}

int
writers_next(int parent, const struct writer_event *event)
{
	struct node node = { .parent = parent, .event = *event };
	struct {
		struct writer_event event;
		int parent;
	} id = { *event, parent };
	GBytes *key = g_bytes_new(&id, sizeof(id));
	gpointer found = g_hash_table_lookup(node_ids, key);

	if (found != NULL) {
		g_bytes_unref(key);
		return GPOINTER_TO_INT(found) - 1;
	}
	run(&node);
	g_array_append_val(nodes, node);
	g_hash_table_insert(node_ids, key, GINT_TO_POINTER((int)nodes->len));
	return (int)nodes->len - 1;
}
