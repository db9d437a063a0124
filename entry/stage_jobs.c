#include "entry/stage_jobs.h"
#include "base/hash.h"
#include "base/log.h"
#include "kernel/overload/suspicion.h"
#include "kernel/rendezvous.h"
#include "platform/stage.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Covers many round trips between failure domains, and still resends a lost
 * datagram soon enough.
 */
#define ACK_TIMEOUT       (100 * USEC_PER_MSEC)
/* How often an acknowledged job is sent again to query its state. */
#define STATUS_INTERVAL   (1 * USEC_PER_SEC)
/* Sends without an acknowledgement before the next coordinator is chosen. */
#define MAX_UNACKED_SENDS 3
/*
 * After so many coordinators in a row that didn't answer, a job goes to one
 * that has answered this host before, or to this host: hosts that are only
 * listed may not exist.
 */
#define MAX_SILENT        2
/* A job at a live coordinator is resent at doubling intervals up to this. */
#define MAX_ACK_TIMEOUT   (800 * USEC_PER_MSEC)
/* Coordinators that may give a job back; then it stays at this host. */
#define MAX_MOVES         3
/* Number of low bits of a job number, which count the jobs of one process. */
#define INCARNATION_SHIFT 24

/* A stage job; its pieces are requested in parts that fit into messages. */
struct stage_job {
	uint64_t number; /* of its first part; the other parts follow */
	uint32_t n_parts;
	uint32_t unanswered;    /* parts */
	peer_piece_ask strings; /* owned by the job and used by its parts */
	GArray *made;           /* peer_piece_made of the answered parts */
	stage_job_handler handler;
	void *arg;
	usec_t deadline;
	usec_t soft_deadline;
	char domain[64]; /* of the coordinator; or empty */
	bool is_local;   /* too large for a message: coordinated by this host */
};

/* A part of a job that has no answer yet. */
struct pending_job {
	uint64_t number;
	struct stage_job *whole;
	struct peer_piece_ask body;       /* the strings are those of the job */
	char coordinator[MAX_ADDR_BYTES]; /* RPC address; empty: this host */
	uint64_t incarnation;             /* of the coordinator */
	usec_t sent_at;
	bool deferred; /* not sent yet */
	bool acked;
	uint32_t tries;
	uint32_t n_silent; /* coordinators that didn't answer */
	uint32_t moves;    /* coordinators that gave it back */
};

struct peer {
	struct view_peer p;
	struct suspicion suspicion;
};

struct stage_jobs {
	struct stage_jobs_opts o;
	struct coordinator *coordinator;
	usec_t peer_wait_end; /* jobs are held back until this time */
	GArray *peers;        /* struct peer */
	struct declined declined;
	GHashTable *jobs; /* number -> struct stage_job */
	GHashTable *open; /* number -> struct pending_job */
	uint64_t next;
};

static void
free_pending_job(gpointer p)
{
	struct pending_job *j = p;

	free(j->body.pieces.pieces_val);
	free(j);
}

static void
free_made(gpointer p)
{
	free(((peer_piece_made *)p)->handle);
}

static void
free_stage_job(gpointer p)
{
	struct stage_job *w = p;

	free(w->arg);
	free(w->strings.service);
	free(w->strings.id);
	free(w->strings.key);
	free(w->strings.inputs);
	free(w->strings.domain);
	g_array_unref(w->made);
	free(w);
}

struct stage_jobs *
stage_jobs_new(const struct stage_jobs_opts *o)
{
	struct stage_jobs *s = xcalloc(1, sizeof(*s));

	s->o = *o;
	s->peers = g_array_new(FALSE, TRUE, sizeof(struct peer));
	s->jobs = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_stage_job);
	s->open = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_pending_job);
	declined_init(&s->declined);
	s->peer_wait_end = clock_now() + o->peer_wait;
	s->next = o->incarnation << INCARNATION_SHIFT;
	return s;
}

void
stage_jobs_set_coordinator(struct stage_jobs *s, struct coordinator *c)
{
	s->coordinator = c;
}

/* Returns the host with this RPC address, or this host if rpc is empty. */
static struct peer *
find_peer(struct stage_jobs *s, const char *rpc)
{
	for (guint i = 0; i < s->peers->len; i++) {
		struct peer *p = &g_array_index(s->peers, struct peer, i);

		if (*rpc != '\0' ? strcmp(p->p.rpc, rpc) == 0
				 : strcmp(p->p.id, s->o.self) == 0)
			return p;
	}
	return NULL;
}

/*
 * A coordinator that has restarted does not know its jobs: they are sent again
 * at the next tick.
 */
static void
resend_to_restarted(struct stage_jobs *s)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->open);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct pending_job *j = v;
		const struct peer *p = find_peer(s, j->coordinator);

		if (j->deferred || *j->coordinator == '\0' || p == NULL ||
		    p->p.incarnation == j->incarnation)
			continue;
		j->incarnation = p->p.incarnation;
		j->acked = false;
		j->tries = 0;
		j->sent_at = 0;
	}
}

void
stage_jobs_set_peers(struct stage_jobs *s, const GArray *peers, bool complete)
{
	g_autoptr(GArray) old_peers = s->peers;

	s->peers = g_array_new(FALSE, TRUE, sizeof(struct peer));
	for (guint i = 0; i < peers->len; i++) {
		struct peer p = { .p = g_array_index(
				      peers, struct view_peer, i) };

		p.suspicion.incarnation = p.p.incarnation;
		g_array_append_val(s->peers, p);
	}
	for (guint i = 0; i < old_peers->len; i++) {
		const struct peer *old =
		    &g_array_index(old_peers, struct peer, i);
		struct peer *p =
		    old->suspicion.until != 0 || old->suspicion.heard_at != 0
		    ? find_peer(s, old->p.rpc)
		    : NULL;

		/* A host that has restarted since is not suspect. */
		if (p != NULL && p->p.incarnation == old->p.incarnation)
			p->suspicion = old->suspicion;
	}
	if (complete)
		s->peer_wait_end = 0;
	resend_to_restarted(s);
}

/* Which hosts may coordinate. */
struct coordinator_choice {
	const char *service;
	const char *domain; /* empty: all */
	bool known_only;    /* this host, and those that have answered it */
	usec_t now;
};

static bool
can_coordinate(const struct stage_jobs *s, const struct peer *p,
    const struct coordinator_choice *x)
{
	if (x->known_only && p->suspicion.heard_at == 0 &&
	    strcmp(p->p.id, s->o.self) != 0)
		return false;
	return !suspicion_is_suspect(&p->suspicion, x->now) &&
	    !declined_has(
		&s->declined, x->service, p->p.id, p->p.incarnation, x->now) &&
	    (*x->domain == '\0' || strcmp(p->p.domain, x->domain) == 0);
}

/* Returns the largest capacity of the hosts that may coordinate; 0: none. */
static uint32_t
largest_capacity(const struct stage_jobs *s, const struct coordinator_choice *x)
{
	uint32_t largest = 0;

	for (guint i = 0; i < s->peers->len; i++) {
		const struct peer *p = &g_array_index(s->peers, struct peer, i);

		if (can_coordinate(s, p, x) && p->p.capacity > largest)
			largest = p->p.capacity;
	}
	return largest;
}

/* Returns the RPC address of the service's coordinator; empty for this host. */
static const char *
choose_coordinator(struct stage_jobs *s, struct coordinator_choice x)
{
	uint64_t seed = hash_u64(str_from(x.service), 3);
	const struct peer *best = NULL;
	double best_weight = 0;
	uint32_t largest = largest_capacity(s, &x);

	if (strlen(x.service) > PEER_NAME_MAX)
		return ""; /* too long for messages */
	if (largest == 0 && *x.domain != '\0') {
		x.domain = "";
		largest = largest_capacity(s, &x);
	}
	for (guint i = 0; i < s->peers->len; i++) {
		const struct peer *p = &g_array_index(s->peers, struct peer, i);
		double weight = rendezvous_weight(
		    hash_u64(str_from(p->p.id), seed), p->p.capacity);

		if (!can_coordinate(s, p, &x) ||
		    !rendezvous_is_large(p->p.capacity, largest) ||
		    (best != NULL && weight <= best_weight))
			continue;
		best = p;
		best_weight = weight;
	}
	if (best == NULL || strcmp(best->p.id, s->o.self) == 0)
		return "";
	return best->p.rpc;
}

static void
assign_coordinator(struct stage_jobs *s, struct pending_job *j, usec_t now)
{
	const struct peer *p;

	g_strlcpy(j->coordinator,
	    j->whole->is_local || j->moves >= MAX_MOVES
		? ""
		: choose_coordinator(s,
		      (struct coordinator_choice){ j->body.service,
			  j->whole->domain, j->n_silent >= MAX_SILENT, now }),
	    sizeof(j->coordinator));
	p = find_peer(s, j->coordinator);
	j->incarnation = p != NULL ? p->p.incarnation : 0;
}

const char *
stage_jobs_coordinator(
    struct stage_jobs *s, const char *service, const char *domain)
{
	return choose_coordinator(s,
	    (struct coordinator_choice){ service, domain, false, clock_now() });
}

static uint32_t
left_ms(usec_t until, usec_t now)
{
	return until > now ? (uint32_t)((until - now) / USEC_PER_MSEC) : 0;
}

static void
send_job(struct stage_jobs *s, struct pending_job *j, usec_t now)
{
	peer_body body = { .kind = PEER_PIECE_ASK };

	j->sent_at = now;
	j->body.left_ms = left_ms(j->whole->deadline, now);
	j->body.aim_left_ms =
	    (int)((j->whole->soft_deadline - now) / USEC_PER_MSEC);
	body.peer_body_u.piece_ask = j->body;
	if (*j->coordinator != '\0')
		rpc_send(s->o.rpc, j->coordinator, &body);
	else
		coordinator_submit(s->coordinator, NULL, &j->body);
}

/* Whether the job's strings are too long for a message. */
static bool
is_too_large(const struct stage_job_opts *o)
{
	return o->id.n > PEER_ID_MAX || o->key.n > PEER_ID_MAX ||
	    o->inputs.n > PEER_HANDLES_MAX || o->domain.n > PEER_NAME_MAX;
}

static struct stage_job *
new_stage_job(const struct stage_job_opts *o, uint64_t number)
{
	struct stage_job *w = xcalloc(1, sizeof(*w));

	w->number = number;
	w->n_parts = (o->n + PEER_PIECES_MAX - 1) / PEER_PIECES_MAX;
	w->unanswered = w->n_parts;
	w->handler = o->handler;
	w->arg = o->arg;
	w->deadline = o->deadline;
	w->soft_deadline = o->soft_deadline;
	w->is_local = is_too_large(o);
	snprintf(w->domain, sizeof(w->domain), "%.*s",
	    STR_FMT(o->coordinator_domain));
	w->made = g_array_new(FALSE, FALSE, sizeof(peer_piece_made));
	g_array_set_clear_func(w->made, free_made);
	w->strings = (peer_piece_ask){
		.service = str_dup(o->service),
		.id = str_dup(o->id),
		.stage = o->stage,
		.key = str_dup(o->key),
		.inputs = str_dup(o->inputs),
		.rank = o->rank,
		.bytes = o->bytes,
		.domain = str_dup(o->domain),
	};
	return w;
}

static struct pending_job *
new_part(struct stage_job *w, uint32_t at, uint32_t n_pieces)
{
	struct pending_job *j = xcalloc(1, sizeof(*j));
	uint32_t first = at * PEER_PIECES_MAX;
	uint32_t n = n_pieces - first;

	if (n > PEER_PIECES_MAX)
		n = PEER_PIECES_MAX;
	j->number = w->number + at;
	j->whole = w;
	j->body = w->strings;
	j->body.ask = j->number;
	j->body.pieces.pieces_len = n;
	j->body.pieces.pieces_val = xcalloc(n, sizeof(u_int));
	for (uint32_t i = 0; i < n; i++)
		j->body.pieces.pieces_val[i] = first + i;
	return j;
}

uint64_t
stage_jobs_submit(struct stage_jobs *s, const struct stage_job_opts *o)
{
	struct stage_job *w = new_stage_job(o, s->next + 1);
	usec_t now = clock_now();

	s->next += w->n_parts;
	g_hash_table_insert(s->jobs, &w->number, w);
	for (uint32_t i = 0; i < w->n_parts; i++) {
		struct pending_job *j = new_part(w, i, o->n);

		g_hash_table_insert(s->open, &j->number, j);
		assign_coordinator(s, j, now);
		log_text(LOG_LVL_INFO, "stage-asked",
		    "request %s: stage %u, %u pieces of %s, coordinator %s, "
		    "preferred domain %s",
		    j->body.id, o->stage, j->body.pieces.pieces_len,
		    j->body.service,
		    *j->coordinator != '\0' ? j->coordinator : "here",
		    *j->body.domain != '\0' ? j->body.domain : "any");
		if (now < s->peer_wait_end)
			j->deferred = true;
		else
			send_job(s, j, now);
	}
	return w->number;
}

/* Cancels the parts of a job that have no answer yet. */
static void
cancel_parts(struct stage_jobs *s, const struct stage_job *w)
{
	for (uint32_t i = 0; i < w->n_parts; i++) {
		uint64_t number = w->number + i;
		struct pending_job *j = g_hash_table_lookup(s->open, &number);

		if (j == NULL)
			continue;
		j->body.cancelled = true;
		if (!j->deferred)
			send_job(s, j, clock_now());
		g_hash_table_remove(s->open, &number);
	}
}

/* Frees the results of the parts that were answered. */
static void
release_made(struct stage_jobs *s, const struct stage_job *w)
{
	struct buf handles = { 0 };

	for (guint i = 0; i < w->made->len; i++) {
		struct str handle =
		    str_from(g_array_index(w->made, peer_piece_made, i).handle);

		if (handles.n > 0 && handle.n > 0)
			buf_putc(&handles, ',');
		buf_put(&handles, handle);
	}
	stage_jobs_release(s, w->strings.service, str_of(&handles));
	buf_free(&handles);
}

void
stage_jobs_cancel(struct stage_jobs *s, uint64_t job_number)
{
	struct stage_job *w = g_hash_table_lookup(s->jobs, &job_number);

	if (w == NULL)
		return;
	cancel_parts(s, w);
	release_made(s, w);
	g_hash_table_remove(s->jobs, &job_number);
}

/* Removes the first handles, as many as a message holds, from *handles. */
static struct str
cut_handles(struct str *handles)
{
	struct str first = *handles;

	if (handles->n <= PEER_HANDLES_MAX) {
		*handles = (struct str){ NULL, 0 };
		return first;
	}
	first.n = PEER_HANDLES_MAX;
	while (first.n > 0 && handles->p[first.n] != ',')
		first.n--;
	handles->p += first.n + 1;
	handles->n -= first.n + 1;
	return first;
}

/* Tells the coordinator of these results that they are free or fetched. */
static void
tell_results(struct stage_jobs *s, const char *service, struct str handles,
    peer_kind kind)
{
	struct str rest = handles;
	struct str addr = { NULL, 0 };
	const char *domain = "";
	const char *coordinator;

	if (handles.n == 0)
		return;
	if (loads_domains(s->o.loads, service) != NULL &&
	    str_cut(&rest, '/', &addr))
		domain = loads_domain_at(s->o.loads, addr);
	coordinator = choose_coordinator(s,
	    (struct coordinator_choice){ service, domain, false, clock_now() });
	if (*coordinator == '\0') {
		if (kind == PEER_PIECE_FETCHED)
			coordinator_fetched(s->coordinator, handles);
		else
			coordinator_release(s->coordinator, handles);
		return;
	}
	while (handles.n > 0) {
		struct str first = cut_handles(&handles);
		g_autofree char *list = g_strndup(first.p, first.n);
		peer_piece_free f = { (char *)service, list };
		peer_body body = { .kind = kind };

		if (kind == PEER_PIECE_FETCHED)
			body.peer_body_u.piece_fetched = f;
		else
			body.peer_body_u.piece_free = f;
		rpc_send(s->o.rpc, coordinator, &body);
	}
}

void
stage_jobs_release(
    struct stage_jobs *s, const char *service, struct str handles)
{
	tell_results(s, service, handles, PEER_PIECE_FREE);
}

void
stage_jobs_fetched(
    struct stage_jobs *s, const char *service, struct str handles)
{
	tell_results(s, service, handles, PEER_PIECE_FETCHED);
}

/*
 * Assigns a job to the next coordinator; the current one is not chosen for a
 * while.  Returns whether it has become suspect by this job.
 */
static bool
fail_over(struct stage_jobs *s, struct pending_job *j, usec_t now)
{
	struct peer *p = find_peer(s, j->coordinator);
	bool suspect = p != NULL &&
	    suspicion_unanswered(&p->suspicion, j->incarnation, now);

	assign_coordinator(s, j, now);
	j->tries = 0;
	j->acked = false;
	return suspect;
}

/* The coordinator has given a job back: the next one gets it. */
static void
move_job(struct stage_jobs *s, struct pending_job *j, usec_t now)
{
	const struct peer *p = find_peer(s, j->coordinator);

	if (p != NULL)
		declined_add(&s->declined, j->body.service, p->p.id,
		    j->incarnation, now);
	j->moves++;
	assign_coordinator(s, j, now);
	j->tries = 0;
	j->acked = false;
	send_job(s, j, now);
}

/*
 * Frees the results of a coordinator that has been replaced: its successor
 * produces them too.
 */
static void
release_stray_results(
    struct stage_jobs *s, const char *from, const peer_piece_reply *r)
{
	peer_body body = { .kind = PEER_PIECE_FREE };
	struct buf handles = { 0 };

	for (u_int i = 0; i < r->made.made_len; i++) {
		if (handles.n > 0)
			buf_putc(&handles, ',');
		buf_put(&handles, str_from(r->made.made_val[i].handle));
	}
	body.peer_body_u.piece_free.service = "";
	body.peer_body_u.piece_free.handles = handles.p;
	if (handles.n > 0)
		rpc_send(s->o.rpc, from, &body);
	buf_free(&handles);
}

/* Adds the reply to a part to those before it. */
static void
add_made(struct stage_job *w, const peer_piece_reply *r)
{
	for (u_int i = 0; i < r->made.made_len; i++) {
		peer_piece_made m = r->made.made_val[i];

		m.handle = str_dup(str_from(m.handle));
		g_array_append_val(w->made, m);
	}
}

static bool
all_made(const peer_piece_reply *r)
{
	for (u_int i = 0; i < r->made.made_len; i++) {
		if (r->made.made_val[i].outcome != PIECE_DONE)
			return false;
	}
	return !r->refused;
}

/*
 * Handles the final reply to a part.  The job ends with its last part, or with
 * the first one that is refused or fails.
 */
static void
end_part(struct stage_jobs *s, struct pending_job *j, const peer_piece_reply *r)
{
	struct stage_job *w = j->whole;
	peer_piece_reply all = *r;

	g_hash_table_remove(s->open, &j->number);
	add_made(w, r);
	if (--w->unanswered > 0 && all_made(r))
		return;
	cancel_parts(s, w);
	if (r->refused)
		release_made(s, w);
	all.made.made_val = &g_array_index(w->made, peer_piece_made, 0);
	all.made.made_len = r->refused ? 0 : w->made->len;
	g_hash_table_steal(s->jobs, &w->number);
	w->handler(w->arg, &all);
	free_stage_job(w);
}

void
stage_jobs_reply(
    struct stage_jobs *s, const char *from, const peer_piece_reply *r)
{
	uint64_t number = r->ask;
	struct pending_job *j = g_hash_table_lookup(s->open, &number);
	struct peer *peer = from != NULL ? find_peer(s, from) : NULL;

	if (peer != NULL)
		suspicion_heard(&peer->suspicion, clock_now());
	if (j == NULL)
		return;
	if (from != NULL && strcmp(from, j->coordinator) != 0) {
		release_stray_results(s, from, r);
		return;
	}
	if (r->moved && !r->refused) {
		move_job(s, j, clock_now());
		return;
	}
	if (!r->refused && r->made.made_len == 0) {
		/* Later acknowledgements repeat the wait of the first one. */
		bool first = !j->acked;

		j->acked = true;
		j->tries = 0;
		if (first && r->wait_ms > 0)
			stage_waits_report(s->o.waits, j->body.service,
			    j->whole->domain, j->body.rank,
			    (usec_t)r->wait_ms * USEC_PER_MSEC, clock_now());
		return;
	}
	end_part(s, j, r);
}

/* Sends a job that was held back, now that the other hosts are known. */
static void
send_deferred(struct stage_jobs *s, struct pending_job *j, usec_t now)
{
	j->deferred = false;
	assign_coordinator(s, j, now);
	send_job(s, j, now);
}

static bool
is_alive(struct stage_jobs *s, const char *coordinator, usec_t now)
{
	const struct peer *p = find_peer(s, coordinator);

	return p != NULL && suspicion_is_alive(&p->suspicion, now);
}

/* Time after which a job is sent again. */
static usec_t
resend_time(const struct pending_job *j)
{
	usec_t t = ACK_TIMEOUT;

	if (j->acked)
		return STATUS_INTERVAL;
	for (uint32_t i = MAX_UNACKED_SENDS;
	     i < j->tries && t < MAX_ACK_TIMEOUT; i++)
		t *= 2;
	return t < MAX_ACK_TIMEOUT ? t : MAX_ACK_TIMEOUT;
}

bool
stage_jobs_tick(struct stage_jobs *s, usec_t now)
{
	GHashTableIter it;
	gpointer v;
	g_autoptr(GPtrArray) due = g_ptr_array_new();

	g_hash_table_iter_init(&it, s->open);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct pending_job *j = v;

		if (j->deferred ? now >= s->peer_wait_end
				: now - j->sent_at >= resend_time(j))
			g_ptr_array_add(due, v);
	}
	for (guint i = 0; i < due->len; i++) {
		struct pending_job *j = due->pdata[i];

		if (j->deferred) {
			send_deferred(s, j, now);
			continue;
		}
		if (*j->coordinator == '\0') {
			j->sent_at = now;
			continue;
		}
		if (j->tries >= MAX_UNACKED_SENDS &&
		    !is_alive(s, j->coordinator, now)) {
			g_autofree char *silent = g_strdup(j->coordinator);

			j->n_silent++;
			if (fail_over(s, j, now))
				LOG(LOG_LVL_WARNING, "home-silent",
				    { "home", str_from(silent) },
				    { "service", str_from(j->body.service) },
				    { "request", str_from(j->body.id) });
		}
		j->tries++;
		j->acked = false;
		send_job(s, j, now);
	}
	return g_hash_table_size(s->open) > 0;
}

void
stage_jobs_free(struct stage_jobs *s)
{
	g_hash_table_destroy(s->open);
	g_hash_table_destroy(s->jobs);
	declined_free(&s->declined);
	g_array_unref(s->peers);
	free(s);
}
