/*
 * What goes into the kernel (events) and what comes out (actions).
 *
 * The kernel does no I/O: the driver turns what happens into events and
 * carries out the actions.  Requests are named by a handle that the driver
 * chooses, calls by a number that the kernel chooses; neither is used twice.
 */
#ifndef KERNEL_EVENT_H
#define KERNEL_EVENT_H

#include "base/clock.h"
#include "base/err.h"
#include "kernel/conf.h"

enum event_kind {
	EVENT_ARRIVE,      /* a caller's request */
	EVENT_CALLER_GONE, /* its caller went away */
	EVENT_HEAD,        /* a call's status line came */
	EVENT_CHUNK,       /* a part of a call's answer */
	EVENT_END,         /* a call's answer is whole */
	EVENT_FAIL,        /* a call broke */
	EVENT_CLAIM,       /* a claim or a refusal has been decided */
	EVENT_CONF,        /* another configuration is in force */
	EVENT_TARGETS,     /* the host list was read */
	EVENT_LOAD,        /* a target told its load outside a call */
	EVENT_SHARES,      /* this process's share of the fleet's limits */
	EVENT_DRAIN,       /* take nothing new */
	EVENT_TICK         /* only time has passed */
};

enum call_failure {
	FAILURE_CONNECT, /* nothing was sent */
	FAILURE_BROKEN,  /* it broke after something may have been sent */
	FAILURE_TIMEOUT
};

enum claim_result {
	CLAIM_GRANTED,    /* this request may send its call */
	CLAIM_REFUSED,    /* the refusal is kept: no attempt up to this runs */
	CLAIM_TAKEN_DONE, /* an earlier delivery ended; its answer is here */
	CLAIM_TAKEN,      /* an earlier delivery may have run; no answer kept */
	CLAIM_BARRED,     /* this attempt was refused before */
	CLAIM_REUSED,     /* the key was used with another body */
	CLAIM_OLD,        /* the key is older than the retention */
	CLAIM_UNAVAILABLE /* could not be decided in time */
};

enum target_state {
	TARGET_LIVE,
	TARGET_LEAVING,
	TARGET_GONE
};

struct listed_target {
	char service[MAX_NAME_BYTES + 1]; /* as the host list names it */
	char addr[MAX_ADDR_BYTES];        /* IP:PORT */
	char domain[MAX_NAME_BYTES + 1];
	enum target_state state;
};

struct event_arrive {
	uint64_t req;
	struct str id;
	struct str workspace;
	struct str pipeline;
	struct str key; /* empty if none */
	uint32_t attempt;
	usec_t timeout; /* 0: the pipeline's deadline */
	usec_t wall;
	bool stream; /* the caller wants pieces */
	struct str body;
};

struct event_claim {
	uint64_t req;
	enum claim_result result;
	enum outcome outcome; /* CLAIM_TAKEN_DONE */
	struct str answer;    /* CLAIM_TAKEN_DONE: JSON, may be empty */
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
			uint32_t sequoiads; /* live ones, at least 1 */
			const struct share *v;
			size_t n;
		} shares;
	};
};

enum action_kind {
	ACTION_CALL,   /* send a call to a target */
	ACTION_CANCEL, /* give up a call; no event follows for it */
	ACTION_CLAIM,  /* claim the key before a non-repeatable call */
	ACTION_REFUSE, /* keep a refusal of the key */
	ACTION_SETTLE, /* keep how a claimed request ended */
	ACTION_CHUNK,  /* a piece of the answer for a streaming caller */
	ACTION_ANSWER, /* the request has ended */
	ACTION_LEAVING /* a target said that it is leaving: tell others */
};

struct action_call {
	uint64_t call;
	uint64_t req;
	char addr[MAX_ADDR_BYTES];
	enum method method;
	struct buf path;
	struct buf body; /* empty for GET */
	usec_t timeout;
	bool new_conn;  /* on a new connection that is not used again */
	bool no_resend; /* never sent again, whatever happens */
};

struct action_claim {
	uint64_t req;
	struct buf request_id;
	struct buf workspace;
	struct buf pipeline;
	char key[MAX_KEY_BYTES + 1];
	uint32_t attempt;
	uint64_t body_hash;
	usec_t timeout;       /* decide within this time or say unavailable */
	enum outcome outcome; /* ACTION_SETTLE */
	struct buf answer;    /* ACTION_SETTLE */
};

struct action_answer {
	uint64_t req;
	enum outcome outcome;
	enum err_kind error; /* ERR_OK when complete */
	char detail[160];
	usec_t retry_after; /* 0: not said */
	struct buf body;    /* the answer as a JSON object, if complete */
	struct buf trace;   /* JSON array of what was decided */
};

struct action_leaving {
	char service[MAX_NAME_BYTES + 1]; /* as the host list names it */
	char addr[MAX_ADDR_BYTES];
};

struct action {
	enum action_kind kind;
	union {
		struct action_call call;
		struct {
			uint64_t call;
			bool answer_complete; /* only what follows the answer is
					       * given up: the connection may be
					       * used again */
		} cancel;
		struct action_claim claim; /* CLAIM, REFUSE and SETTLE */
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

/* Appends a zeroed action and returns it; valid until the next append. */
struct action *actions_add(struct actions *a, enum action_kind kind);
/* Frees what one action owns. */
void action_clear(struct action *x);
/* Frees what the actions own and empties the list. */
void actions_clear(struct actions *a);
void actions_free(struct actions *a);

#endif
