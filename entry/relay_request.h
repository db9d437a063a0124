/*
 * One request of a caller on its way through the relay: what relay.c,
 * course.c and forward.c share.  Strings of the facts borrow from the door's
 * message, which lives until the request is answered or its caller is gone.
 */
#ifndef ENTRY_RELAY_REQUEST_H
#define ENTRY_RELAY_REQUEST_H

#include "entry/stage_jobs.h"
#include "entry/httpd.h"
#include "kernel/loads.h"
#include "kernel/retry_quota.h"
#include "kernel/routes.h"
#include "kernel/sse.h"
#include "kernel/durations.h"
#include "plat/dial.h"
#include "platform/request.h"

struct relay;

/* What the parts of a relay share; owned by relay.c. */
struct relay_shared {
	struct event_base *base;
	struct dialer *dialer;
	struct loads loads;
	struct stage_jobs *asks;
	struct coordinator *coordinator;
	struct retry_quota_rule quota_rule;
	GHashTable *retry_quotas;   /* service -> struct retry_quota */
	struct durations durations; /* of stages and first events, by service */
};

struct stage_progress {
	uint64_t job; /* under way; 0: none */
	usec_t submitted_at;
	bool feasible; /* it could be on time when it was asked for */
	bool done;
	uint32_t tries;
	struct buf handles; /* of its results, by commas */
};

struct relay_request {
	struct relay *relay;
	struct relay_shared *shared;
	struct httpd_request *httpd_req;
	struct request_info facts;
	struct routes *routes;
	const struct route *route;
	const struct service *service;  /* that the request itself goes to */
	const struct key_owner *holder; /* or NULL */
	int rank;
	usec_t arrived;
	usec_t soft_deadline; /* an answer after that is late */
	usec_t deadline; /* of the caller's patience and the route's timeout */
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
	struct response_info answer;
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
void request_reject(struct relay_request *r, const struct rejection *why);
/*
 * Notes the end of a request and frees it.  The door's side is ended after
 * that: with it go the bytes that the facts borrow.
 */
void request_done(struct relay_request *r, const char *outcome);
struct retry_quota *relay_request_retry_quota(struct relay_request *r);

/* course.c: makes the stages' pieces, then sends the request on. */
void stages_start(struct relay_request *r);
/* A result that the request needs is gone: the stages are made again. */
void stages_restart(struct relay_request *r);
/* Bytes of the results that the request itself takes, roughly. */
uint64_t stages_input_bytes(const struct relay_request *r);
/* The results are not needed any more. */
void stages_release(struct relay_request *r);
void stages_cancel(struct relay_request *r);

/* forward.c: sends the request to a target and its answer back. */
void forward_start(struct relay_request *r);
/* What the request looks for in a target. */
void forward_query(const struct relay_request *r, struct loads_query *w);
void forward_cancel(struct relay_request *r);

#endif
