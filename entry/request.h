/*
 * One request of a caller on its way through the relay: what relay.c,
 * course.c and forward.c share.  Strings of the facts borrow from the door's
 * message, which lives until the request is answered or its caller is gone.
 */
#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include "entry/asks.h"
#include "entry/door.h"
#include "kernel/loads.h"
#include "kernel/repeats.h"
#include "kernel/routes.h"
#include "kernel/sse.h"
#include "kernel/usual.h"
#include "plat/dial.h"
#include "platform/request.h"

struct relay;

/* What the parts of a relay share; owned by relay.c. */
struct relay_parts {
	struct event_base *base;
	struct dialer *dialer;
	struct loads loads;
	struct asks *asks;
	struct home *home;
	struct repeats_rule rule;
	GHashTable *repeats; /* service -> struct repeats */
	struct usual times;  /* of stages and first events, by service */
};

struct stage_progress {
	uint64_t ask; /* under way; 0: none */
	usec_t asked_at;
	bool hopeful; /* it could be on time when it was asked for */
	bool done;
	uint32_t tries;
	struct buf handles; /* of its results, by commas */
};

struct request {
	struct relay *relay;
	struct relay_parts *parts;
	struct door_request *door;
	struct request_facts facts;
	struct routes *routes;
	const struct route *route;
	const struct service *service;   /* that the request itself goes to */
	const struct key_holder *holder; /* or NULL */
	int rank;
	usec_t arrived;
	usec_t aim; /* an answer after that is late */
	usec_t end; /* of the caller's patience and the route's timeout */
	struct event *timer;
	GList link;

	/* course.c */
	struct stage_progress stages[ROUTE_MAX_STAGES];
	struct buf inputs; /* handles that the request itself takes */
	uint32_t input_losses;

	/* forward.c */
	struct dial_call *call;
	char target_id[64];
	char tried[LOADS_MAX_TRIED][64];
	size_t n_tried;
	uint32_t sends;
	usec_t sent_at;    /* the last send */
	bool may_have_run; /* a send whose answer did not say "not run" */
	struct answer_facts answer;
	int answer_status;
	bool head_written; /* to the caller */
	struct sse sse;
};

/* Why a request that was not served ended; see base/err.h. */
struct rejection {
	enum err_kind kind;
	usec_t retry_after; /* 0: not said */
	const char *cause;
};

/* relay.c: answers the request with an error and frees it. */
void request_reject(struct request *r, const struct rejection *why);
/*
 * Notes the end of a request and frees it.  The door's side is ended after
 * that: with it go the bytes that the facts borrow.
 */
void request_done(struct request *r, const char *outcome);
struct repeats *request_repeats(struct request *r);

/* course.c: makes the stages' pieces, then sends the request on. */
void course_start(struct request *r);
/* A result that the request needs is gone: the stages are made again. */
void course_restart(struct request *r);
/* Bytes of the results that the request itself takes, roughly. */
uint64_t course_input_bytes(const struct request *r);
/* The results are not needed any more. */
void course_release(struct request *r);
void course_cancel(struct request *r);

/* forward.c: sends the request to a target and its answer back. */
void forward_start(struct request *r);
/* What the request looks for in a target. */
void forward_wish(const struct request *r, struct loads_wish *w);
void forward_cancel(struct request *r);

#endif
