/*
 * The kernel's input (events) and output (actions).
 *
 * The kernel does no I/O: the driver reports what happened as events and
 * carries out the actions.  The driver chooses a request's handle and the
 * kernel a call's number; neither is reused.  The kernel copies what it keeps
 * of an event; an action owns its buffers.  Times are in microseconds.
 */
#ifndef KERNEL_EVENT_H
#define KERNEL_EVENT_H

#include "base/clock.h"
#include "base/err.h"
#include "kernel/conf.h"
#include "kernel/stopping.h"

enum event_kind {
	EVENT_ARRIVE,      /* a caller sent a request */
	EVENT_CALLER_GONE, /* the caller disconnected */
	EVENT_HEAD,        /* status line of a call's response */
	EVENT_CHUNK,       /* part of a call's response body */
	EVENT_END,         /* end of a call's response body */
	EVENT_WAIT,        /* a call's response waits for memory, or has */
	EVENT_FAIL,        /* a call failed */
	EVENT_CLAIM,       /* a claim or refusal was decided */
	EVENT_CONF,        /* another configuration is in force */
	EVENT_TARGETS,     /* the host list was read */
	EVENT_LOAD,        /* a load report outside a call */
	EVENT_SHARES,      /* this process's shares of the limits */
	EVENT_DRAIN,       /* accept no new requests */
	EVENT_STOP,        /* the process was told to stop */
	EVENT_TICK         /* time has passed */
};

enum call_failure {
	FAILURE_CONNECT, /* not connected; nothing was sent */
	FAILURE_BROKEN,  /* broken after something may have been sent */
	FAILURE_TIMEOUT
};

enum claim_result {
	CLAIM_GRANTED, /* this request may send its call */
	/* The refusal is stored: attempts up to the refused one don't run. */
	CLAIM_REFUSED,
	/* An earlier delivery has ended; its answer is attached. */
	CLAIM_TAKEN_DONE,
	/* An earlier delivery may have run; its answer is not stored. */
	CLAIM_TAKEN,
	CLAIM_BARRED,     /* this attempt was refused before */
	CLAIM_REUSED,     /* the key was used with another body */
	CLAIM_OLD,        /* the key is older than the retention */
	CLAIM_UNAVAILABLE /* not decided in time */
};

enum target_state {
	TARGET_LIVE,
	TARGET_LEAVING,
	TARGET_GONE
};

struct listed_target {
	char service[MAX_NAME_BYTES + 1]; /* service name in the host list */
	char addr[MAX_ADDR_BYTES];        /* IP:PORT */
	char domain[MAX_NAME_BYTES + 1];
	enum target_state state;
};

struct event_arrive {
	uint64_t req;
	struct str id;
	struct str workspace;
	struct str pipeline;
	struct str key; /* idempotency key; empty if none */
	uint32_t attempt;
	usec_t timeout; /* 0: the pipeline's deadline */
	usec_t wall;    /* time of arrival since the Unix epoch */
	bool stream;    /* stream the generated text */
	struct str body;
};

struct event_claim {
	uint64_t req;
	enum claim_result result;
	enum outcome outcome; /* with CLAIM_TAKEN_DONE */
	struct str answer;    /* with CLAIM_TAKEN_DONE; JSON or empty */
};

struct share {
	struct str workspace;
	uint32_t ppm; /* millionths of the workspace's limits */
};

struct event {
	enum event_kind kind;
	union {
		struct event_arrive arrive;
		struct {
			uint64_t req;
		} gone;
		struct {
			uint64_t call;
			int status;
		} head;
		struct {
			uint64_t call;
			struct str bytes;
		} chunk;
		struct {
			uint64_t call;
		} end;
		struct {
			uint64_t call;
			bool waits;
		} wait;
		struct {
			uint64_t call;
			enum call_failure why;
		} fail;
		struct event_claim claim;
		struct {
			struct conf *conf; /* the kernel takes a reference */
		} conf;
		struct {
			const struct listed_target *v;
			size_t n;
		} targets;
		struct {
			struct str addr;
			uint32_t load;
			bool leaving;
		} load;
		struct {
			uint32_t sequoiads; /* live sequoiads, at least 1 */
			const struct share *v;
			size_t n;
		} shares;
		struct stopping stop;
	};
};

enum action_kind {
	ACTION_CALL,   /* send a call to a target */
	ACTION_CANCEL, /* cancel a call; no event follows for it */
	ACTION_CLAIM,  /* claim the key before a non-repeatable call */
	ACTION_REFUSE, /* store a refusal of the key */
	ACTION_SETTLE, /* store how a claimed request ended */
	ACTION_CHUNK,  /* send a text chunk to a streaming caller */
	ACTION_ANSWER, /* answer the caller: the request has ended */
	ACTION_LEAVING /* a target is leaving: inform the other hosts */
};

struct action_call {
	uint64_t call;
	uint64_t req;
	char addr[MAX_ADDR_BYTES];
	enum method method;
	struct buf path;
	struct buf body; /* empty for GET */
	usec_t timeout;
	bool new_conn;  /* use a new connection and close it after the call */
	bool no_resend; /* never resend, not even after a connection failure */
};

struct action_claim {
	uint64_t req;
	struct buf request_id;
	struct buf workspace;
	struct buf pipeline;
	char key[MAX_KEY_BYTES + 1];
	uint32_t attempt;
	uint64_t body_hash;
	usec_t timeout;       /* of the decision; then CLAIM_UNAVAILABLE */
	enum outcome outcome; /* with ACTION_SETTLE */
	struct buf answer;    /* with ACTION_SETTLE */
};

struct action_answer {
	uint64_t req;
	enum outcome outcome;
	enum err_kind error; /* ERR_OK if the outcome is complete */
	char detail[160];
	usec_t retry_after; /* 0: none */
	struct buf body;    /* JSON object if the outcome is complete */
	struct buf trace;   /* JSON array, see trace_write() */
};

struct action_leaving {
	char service[MAX_NAME_BYTES + 1]; /* service name in the host list */
	char addr[MAX_ADDR_BYTES];
};

struct action {
	enum action_kind kind;
	union {
		struct action_call call;
		struct {
			uint64_t call;
			/*
			 * The answer was complete and only the rest of the
			 * response is dropped: the connection can be reused.
			 */
			bool answer_complete;
		} cancel;
		/* ACTION_CLAIM, ACTION_REFUSE and ACTION_SETTLE. */
		struct action_claim claim;
		struct {
			uint64_t req;
			struct buf text;
		} chunk;
		struct action_answer answer;
		struct action_leaving leaving;
	};
};

struct actions {
	struct action *v;
	size_t n;
	size_t cap;
};

/*
 * Appends a zeroed action and returns it; the pointer is valid until the next
 * append.
 */
struct action *actions_add(struct actions *a, enum action_kind kind);
/* Frees the buffers of one action. */
void action_clear(struct action *x);
/* Frees the buffers of all actions and empties the list. */
void actions_clear(struct actions *a);
void actions_free(struct actions *a);

#endif
