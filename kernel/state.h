/*
 * Internal state of the kernel, for the modules that process requests:
 * kernel.c, admit.c, flow.c, timeouts.c, finish.c, request_stopping.c and
 * call.c.
 *
 * A request owns its calls.  A call refers to its target by index until it is
 * closed.  Requests and calls are found by number in hash tables.  Times are in
 * microseconds.  As struct kernel, this state belongs to one thread.
 */
#ifndef KERNEL_STATE_H
#define KERNEL_STATE_H

#include "kernel/answer.h"
#include "kernel/budget.h"
#include "kernel/kernel.h"
#include "kernel/histogram.h"
#include "kernel/overload/request_times.h"
#include "kernel/queue.h"
#include "kernel/trace.h"

#include <glib.h>

/* Time that an answered request is kept to settle its claim. */
#define CLAIM_SETTLE_TIME (30 * USEC_PER_SEC)

/* Statistics of past calls of a stage, in microseconds. */
struct stage_stats {
	struct histogram call_time; /* duration of successful calls */
	/*
	 * Moving average of the duration of successful calls and of calls that
	 * ended at the deadline.
	 */
	double recent_call_time;
	struct histogram first_token; /* time to first token */
	struct histogram token_gap;   /* time between tokens */
	struct budget budget;
};

struct service_state {
	struct queue queue;
	uint32_t in_flight; /* calls to the service's targets */
	/*
	 * Moving average of the time between ends of calls while some are in
	 * flight.
	 */
	double end_interval;
	usec_t last_end_at; /* latest end of a call, or the first start */
	/*
	 * Moving average of the time between ends of calls while calls are
	 * queued.
	 */
	double queued_end_interval;
	/*
	 * Latest end of a call while calls are queued; 0: none since the
	 * queue was empty.
	 */
	usec_t queued_end_at;
	bool slot_freed; /* a call has ended since the queue was last served */
};

enum request_state {
	REQUEST_QUEUED,
	REQUEST_CALLING,
	REQUEST_CLAIMING, /* waits for its claim */
	REQUEST_REFUSING, /* waits until its refusal is stored */
	REQUEST_ENDED     /* ended; waits for a late decision on its claim */
};

/* State of a request's claim on its idempotency key. */
enum claim_state {
	CLAIM_NONE,
	CLAIM_HELD, /* held by this request */
	/* Held by an earlier delivery of the key: only look-ups are allowed. */
	CLAIM_EARLIER
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
	char call_id[2 * MAX_ADDR_BYTES]; /* unique id sent to the target */
	struct request *rq;
	int target;
	enum call_role role;
	usec_t started;
	usec_t progress_at; /* start of the call, or its latest token */
	usec_t timeout_at;
	int status;            /* HTTP status; 0: none has come */
	bool closed_early;     /* connection closed before a status came */
	bool waits;            /* its response waits for memory of this host */
	usec_t waits_since;    /* valid while waits */
	usec_t waited;         /* the sum of the waits that are over */
	uint32_t tokens_taken; /* tokens already added to the request */
	struct stage_answer answer;
};

struct request {
	/* First member: flow.c casts a node to its request. */
	struct queue_node node;
	uint64_t handle;
	char *id;
	struct conf *conf;
	const struct conf_pipeline *pipeline;
	const struct conf_workspace *workspace;
	char key[MAX_KEY_BYTES + 1]; /* idempotency key; empty if none */
	uint32_t attempt;
	uint64_t body_hash;
	usec_t arrived;
	usec_t deadline;
	bool stream;
	bool admitted;    /* counted in its workspace's limit */
	bool answered;    /* the caller got the outcome */
	bool effect_sent; /* a non-repeatable call was sent */
	bool effect_done; /* every non-repeatable call sent was answered */
	enum request_state state;
	enum claim_state claim;
	json_t *document;
	json_t *merged;      /* merged results of the stages */
	size_t result_bytes; /* of their text */
	size_t *all_results; /* of the kernel, which result_bytes is part of */
	size_t stage;
	struct stage_stats *stats[MAX_STAGES];      /* by stage */
	struct service_state *services[MAX_STAGES]; /* by stage */
	uint32_t lanes[MAX_STAGES]; /* by stage: lane in the service's queue */
	size_t stages_passed;       /* stages no longer counted as expected */
	size_t stages_expected;     /* stages counted as expected at first */
	/* By stage: index in the target table. */
	uint32_t service_index[MAX_STAGES];
	struct call *calls[MAX_CALLS_PER_REQ];
	size_t n_calls;
	usec_t stage_sent_at[MAX_STAGES]; /* first call of each stage */
	uint32_t calls_sent;              /* calls of all stages */
	uint32_t extra_calls; /* calls of this stage after the first */
	bool hedged;          /* this stage has had its hedge */
	/* Latest targets of this stage; a ring that n_tried indexes. */
	int tried[MAX_CALLS_PER_REQ];
	size_t n_tried;              /* calls of this stage */
	struct buf text;             /* text generated in this stage so far */
	uint32_t tokens;             /* tokens generated in this stage so far */
	enum err_kind refusal_error; /* REQUEST_REFUSING: the error to send */
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
	size_t result_bytes;  /* of all requests */
	GHashTable *calls;    /* id -> struct call */
	GHashTable *stages;   /* "pipeline.stage" -> struct stage_stats */
	GHashTable *services; /* name -> struct service_state */
	uint64_t next_call;
	bool slot_freed;       /* some service has its slot_freed set */
	bool check_all_queues; /* serve the queues of all services */
	usec_t rechecked_at;   /* when a tick last set check_all_queues */
	bool draining;
	struct stopping stopping;
	struct request_times times; /* of requests, by pipeline and stage */
	struct kernel_stats stats;
	struct actions *out; /* actions of the current step */
};

struct stage_stats *state_stage(
    struct kernel *k, const struct conf_pipeline *p, size_t stage);
struct service_state *state_service(
    struct kernel *k, const struct conf_service *s);
const struct conf_stage *state_current_stage(const struct request *rq);
/* Whether a non-repeatable call may have run and its effect is not known. */
bool state_effect_unknown(const struct request *rq);
/*
 * Histogram of the time until a call of the current stage gives its first
 * output: the first token if the stage streams, else the complete answer.
 */
struct histogram *state_first_output(const struct request *rq);
/* Returns the index of a service in the target table; adds it if new. */
uint32_t state_service_index(struct kernel *k, const struct conf_service *s);
/* Stops counting the request's first n stages as expected at their services. */
void state_skip_expected(struct request *rq, size_t n);
/* Adds a trace entry for the request's current stage. */
void state_trace(const struct kernel *k, struct request *rq,
    enum trace_kind kind, const char *why, const char *addr);

#endif
