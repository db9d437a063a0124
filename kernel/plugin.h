/*
 * Registry of stage kinds and balancing policies.  A plug-in is one file in
 * kernel/plugins/ that ends with STAGE_REGISTER or BALANCE_REGISTER, and one
 * line in kernel/CMakeLists.txt.  Plug-ins are registered before main(); the
 * registry doesn't change after that.
 */
#ifndef KERNEL_PLUGIN_H
#define KERNEL_PLUGIN_H

#include "base/rng.h"
#include "kernel/conf.h"

#include <jansson.h>

struct targets;

/* Arguments of a stage call. */
struct stage_call {
	const struct conf_pipeline *pipeline;
	const struct conf_stage *stage;
	const struct conf_workspace *workspace;
	const char *call_id; /* NULL: accept any id in the answer */
	const char *request_id;
	struct str key;     /* idempotency key; empty if none */
	json_t *document;   /* borrowed */
	uint32_t priority;  /* lower is more urgent */
	struct str resumed; /* text already passed on */
	uint32_t resumed_tokens;
};

enum parse_state {
	PARSE_MORE,       /* more of the answer is to come */
	PARSE_DONE,       /* complete answer */
	PARSE_BAD,        /* not as docs/PIPELINES.md describes */
	PARSE_OTHER_CALL, /* carries another call's id */
	PARSE_REFUSED     /* the target did not take the call */
};

/* Answer of a call while it arrives. */
struct stage_answer {
	struct buf body; /* bytes not parsed yet */
	struct buf text; /* generated text of this call */
	uint32_t tokens; /* generated tokens of this call */
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	int load; /* reported load; -1: none */
	bool leaving;
	bool not_ready;   /* the target can't serve now */
	json_t *document; /* result to merge; owned */
};

struct stage_ops {
	const char *name;
	const char *path;
	bool streams; /* the answer is streamed, token by token */
	/* Writes the body of a call. */
	void (*build)(const struct stage_call *c, struct buf *out);
	/* Parses bytes that were appended to a->body; end: no more follow. */
	enum parse_state (*feed)(const struct stage_call *c,
	    struct stage_answer *a, int status, bool end);
	const struct stage_ops *next;
};

/* Arguments of a choice of a target. */
struct pick {
	struct targets *targets;
	size_t service; /* index in the target table */
	usec_t now;
	struct rng *rng;
	uint64_t affinity;  /* hash of salt and prefix; 0: none */
	const char *domain; /* own failure domain */
	const struct conf_policy *policy;
	uint32_t concurrency; /* calls in flight per target; 0: no limit */
	const int *avoid;     /* targets already tried */
	size_t n_avoid;
	const char *reason; /* out: for the trace */
};

struct balance_ops {
	const char *name;
	/*
	 * Returns the chosen target's index, or -1 if none can take the call.
	 */
	int (*choose)(struct pick *p);
	const struct balance_ops *next;
};

void plugin_register_stage(struct stage_ops *ops);
const struct stage_ops *plugin_find_stage(struct str name);
const struct stage_ops *plugin_first_stage(void);
void plugin_register_balance(struct balance_ops *ops);
const struct balance_ops *plugin_find_balance(struct str name);
const struct balance_ops *plugin_first_balance(void);

#define STAGE_REGISTER(ops)                                           \
	__attribute__((constructor)) static void register_##ops(void) \
	{                                                             \
		plugin_register_stage(&(ops));                        \
	}
#define BALANCE_REGISTER(ops)                                         \
	__attribute__((constructor)) static void register_##ops(void) \
	{                                                             \
		plugin_register_balance(&(ops));                      \
	}

#endif
