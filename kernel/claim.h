/* A record in a log of claims: claim, refusal or settlement. */
#ifndef KERNEL_CLAIM_H
#define KERNEL_CLAIM_H

#include "kernel/event.h"

#include <jansson.h>

enum claim_step {
	CLAIM_STEP_CLAIM,
	CLAIM_STEP_REFUSE,
	CLAIM_STEP_SETTLE
};

/* What a record says; strings are borrowed. */
struct claim {
	enum claim_step step;
	struct str workspace;
	struct str pipeline;
	struct str key; /* a UUID of version 7, checked at arrival */
	uint32_t attempt;
	uint64_t body_hash;
	uint64_t holder; /* incarnation of the sequoiad that asks */
	struct str request_id;
	enum outcome outcome; /* settlements */
	struct str answer;    /* settlements; longer ones are not kept */
};

/* The payload of a record, and back; false if it is none. */
json_t *claim_pack(const struct claim *cl);
bool claim_unpack(const json_t *payload, struct claim *cl);

#endif
