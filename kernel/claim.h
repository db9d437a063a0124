/*
 * A record in a log of claims: a claim, a refusal or a settlement.  It is
 * stored as a JSON object, the payload of a record of kernel/alog.h.
 */
#ifndef KERNEL_CLAIM_H
#define KERNEL_CLAIM_H

#include "kernel/event.h"

#include <jansson.h>

enum claim_step {
	CLAIM_STEP_CLAIM,
	CLAIM_STEP_REFUSE,
	CLAIM_STEP_SETTLE
};

/* The decoded record; its strings are borrowed. */
struct claim {
	enum claim_step step;
	struct str workspace;
	struct str pipeline;
	struct str key; /* idempotency key: a UUID of version 7, validated */
	uint32_t attempt;
	uint64_t body_hash;
	uint64_t holder; /* incarnation of the requesting sequoiad */
	struct str request_id;
	enum outcome outcome; /* settlements */
	struct str answer;    /* settlements; above MAX_CLAIM_ANSWER_BYTES not kept */
};

/* Encodes a record as a payload, and back; false if payload is no record. */
json_t *claim_pack(const struct claim *cl);
bool claim_unpack(const json_t *payload, struct claim *cl);

#endif
