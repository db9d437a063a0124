/*
 * The kernel's state, seen by the course of requests only: kernel.c, admit.c,
 * flow.c, watch.c, ending.c and call.c.
 *
 * A request owns its calls; a call refers to one target by index until it is
 * closed.  Both are found by number in hash tables.
 */
#ifndef KERNEL_STATE_H
#define KERNEL_STATE_H

#include "kernel/answer.h"
#include "kernel/budget.h"
#include "kernel/kernel.h"
#include "kernel/histogram.h"
#include "kernel/queue.h"
#include "kernel/trace.h"

#include <glib.h>

/* A request whose caller was told goes on this long to settle its claim. */
#define LINGER (30 * USEC_PER_SEC)

/* What is known of a stage from its past calls. */
struct stage_stats {
	struct histogram call_time; /* time of a successful call */
	double recent_call_time;    /* moving average of it; ended at deadlines,
				       too */
	struct histogram first_token; /* time to the first token */
	struct histogram token_gap;   /* between tokens */
	struct budget budget;
};

struct service_state {
	struct queue queue;
	uint32_t in_flight;  /* under way */
	double end_interval; /* time between ends of calls, while some are under
				way */
	usec_t last_end_at;  /* the latest end, or the first start */
	double queued_end_interval; /* time between ends of calls, while calls
				       waited */
	usec_t
	    queued_end_at; /* 0: no call has ended since the queue was empty */
	bool slot_freed;   /* a call has ended since the queue was looked at */
};

enum request_state {
	REQUEST_QUEUED,
	REQUEST_CALLING,
	REQUEST_CLAIMING, /* waits for its claim */
	REQUEST_REFUSING, /* waits until its refusal is kept */
	REQUEST_ENDED     /* ended; waits for a late decision on its claim */
};

/* How far a request's claim has come. */
enum claim_state {
	CLAIM_NONE,
	CLAIM_HELD,   /* by this request */
	CLAIM_EARLIER /* by an earlier delivery: only look-ups are allowed */
};

enum call_role {
	CALL_FIRST,
	CALL_RETRY,
	CALL_HEDGE,
	CALL_RESUME,
	CALL_LOOKUP
};

struct call {
	uint64_t id;
	char call_id[2 * MAX_ADDR_BYTES]; /* unique text sent to the target */
	struct request *rq;
	int target;
	enum call_role role;
	usec_t started;
	usec_t progress_at; /* start, or the last token */
	usec_t timeout_at;
	int status;            /* 0: none has come */
	bool closed_early;     /* the connection broke before that */
	uint32_t tokens_taken; /* tokens of this call that were taken over */
	struct stage_answer answer;
};

struct request {
	struct queue_node node; /* first member: waits for a service */
	uint64_t handle;
	char *id;
	struct conf *conf;
	const struct conf_pipeline *pipeline;
	const struct conf_workspace *workspace;
	char key[MAX_KEY_BYTES + 1]; /* empty if none */
	uint32_t attempt;
	uint64_t body_hash;
	usec_t arrived;
	usec_t deadline;
	bool stream;
	bool admitted;    /* counted in its workspace's limit */
	bool answered;    /* its caller has its outcome */
	bool effect_sent; /* a non-repeatable call went out */
	bool effect_done; /* all that went out were answered */
	enum request_state state;
	enum claim_state claim;
	json_t *document;
	json_t *merged; /* what the stages merged */
	size_t stage;
	struct stage_stats *stats[MAX_STAGES];      /* by stage */
	struct service_state *services[MAX_STAGES]; /* by stage */
	uint32_t lanes[MAX_STAGES]; /* in the services' queues */
	size_t stages_passed;       /* stages that are expected no longer */
	size_t stages_expected; /* of so many, once the request is admitted */
	uint32_t service_index[MAX_STAGES]; /* services in the target table */
	struct call *calls[MAX_CALLS_PER_REQ];
	size_t n_calls;
	uint32_t calls_sent;          /* calls of all stages */
	uint32_t extra_calls;         /* calls of this stage after the first */
	bool hedged;                  /* in this stage */
	int tried[MAX_CALLS_PER_REQ]; /* the latest targets of this stage */
	size_t n_tried;               /* calls of this stage */
	struct buf text;              /* generated in this stage so far */
	uint32_t tokens;
	enum err_kind refusal_error; /* REQUEST_REFUSING: what to tell */
	char refusal_detail[160];
	usec_t retry_after;
	struct trace trace;
};

struct kernel {
	uint64_t seed;
	char *domain;
	struct rng rng;
	usec_t now;
	struct conf *conf;
	struct targets targets;
	struct limits limits;
	GHashTable *requests; /* handle -> struct request, owned */
	GHashTable *calls;    /* id -> struct call */
	GHashTable *stages;   /* "pipeline.stage" -> struct stage_stats */
	GHashTable *services; /* name -> struct service_state */
	uint64_t next_call;
	bool slot_freed;       /* some service may have got room */
	bool check_all_queues; /* every service may have */
	usec_t rechecked_at;   /* when a tick last had all queues looked at */
	bool draining;
	struct kernel_stats stats;
	struct actions *out; /* of the step under way */
};

struct stage_stats *state_stage(
    struct kernel *k, const struct conf_pipeline *p, size_t stage);
struct service_state *state_service(
    struct kernel *k, const struct conf_service *s);
const struct conf_stage *state_current_stage(const struct request *rq);
/* Whether a non-repeatable call may have had an effect that is not known. */
bool state_effect_unknown(const struct request *rq);
/* The time until a call of the present stage shows its first sign. */
struct histogram *state_first_output(const struct request *rq);
/* The index of a service in the target table. */
uint32_t state_service_index(struct kernel *k, const struct conf_service *s);
/* The request's first n stages are no longer expected at their services. */
void state_skip_expected(struct request *rq, size_t n);
/* Adds a note on the request's present stage. */
void state_trace(const struct kernel *k, struct request *rq,
    enum trace_kind kind, const char *why, const char *addr);

#endif
