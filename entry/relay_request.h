/*
 * A caller's request in the relay: the state that relay.c, relay_request.c,
 * stages.c and forward.c share.  The strings in info point into the message of
 * the HTTP server, which lives until the request is answered or its caller has
 * closed the connection.  Runs on the relay's thread; times are in
 * microseconds.
 */
#ifndef ENTRY_RELAY_REQUEST_H
#define ENTRY_RELAY_REQUEST_H

#include "entry/crash_reports.h"
#include "entry/placements.h"
#include "entry/relay_metrics.h"
#include "entry/stage_jobs.h"
#include "entry/stream_resumes.h"
#include "entry/target_calls.h"
#include "entry/target_limits.h"
#include "entry/httpd.h"
#include "kernel/crash_suspects.h"
#include "kernel/late_read.h"
#include "kernel/loads.h"
#include "kernel/overload/retry_quota.h"
#include "kernel/routes.h"
#include "kernel/sse.h"
#include "kernel/stopping.h"
#include "kernel/overload/chain.h"
#include "kernel/overload/durations.h"
#include "kernel/overload/caller_age.h"
#include "kernel/overload/request_times.h"
#include "kernel/overload/response_wait.h"
#include "kernel/overload/resume_wait.h"
#include "kernel/overload/stage_waits.h"
#include "plat/dial.h"
#include "platform/request.h"

#include <stdatomic.h>

/* Retry-After while stopping; short, as another host can serve the request. */
#define RELAY_DRAINING_RETRY (10 * USEC_PER_MSEC)

/* State shared by all requests; owned by relay.c. */
struct relay_shared {
	struct event_base *base;
	GQueue requests;    /* struct relay_request */
	atomic_size_t busy; /* their number, for other threads */
	struct relay_counts counts;
	struct dialer *dialer;
	struct loads loads;
	struct stage_jobs *stage_jobs;
	struct coordinator *coordinator;
	struct placements *placements;
	struct placer *placer;
	struct retry_quota_rule quota_rule;
	int least_rank;           /* of the configuration in force */
	GHashTable *retry_quotas; /* service -> struct retry_quota */
	/*
	 * Expected durations of stages and of the time until the first event,
	 * by service name.
	 */
	struct durations durations;
	/*
	 * How long calls wait for their responses, and streams for the next
	 * event, by service name.
	 */
	struct response_wait response_wait;
	struct response_wait event_wait;
	uint64_t silent_calls; /* given up */
	uint64_t lost_calls;   /* sent, without a complete response */
	uint64_t unread_calls; /* of these, while the response wasn't read */
	/* Waits at the stage services, as their coordinators report them. */
	struct stage_waits stage_waits;
	/* How long ago the callers of a route sent their first attempt. */
	struct caller_age caller_age;
	/* Quota of repeated stage work, for all stage services together. */
	struct retry_quota stage_quota;
	struct retry_quota_rule stage_quota_rule;
	struct target_calls *target_calls;
	struct target_limits *target_limits;
	struct crash_reports *crash_reports;
	struct stream_resumes *stream_resumes;
	const GArray *evacuated;             /* of the view; NULL: none yet */
	const struct quarantine *quarantine; /* of the view; NULL: none yet */
	struct stop_signal *stop_signal;
	usec_t drain; /* drain_ms */
	usec_t grace; /* grace_s */
	struct stopping stopping;
	bool draining;       /* its parts take part in the stop */
	struct httpd *httpd; /* of the callers */
	struct request_times request_times;
};

/* What a crash of a target may be blamed on. */
struct request_parts {
	struct part_set all; /* the content and the parts of the prompt */
	/*
	 * Hash of the URL, host, workspace and body: the same whenever the
	 * request comes again, under any attempt id.
	 */
	uint64_t content;
	uint64_t own; /* the last part of the prompt; 0: it has none */
};

struct stage_progress {
	uint64_t job; /* number of the job in progress; 0: none */
	usec_t submitted_at;
	bool feasible; /* the soft deadline could be met at submission */
	bool done;
	uint32_t tries;
	struct buf handles; /* result handles, separated by commas */
};

struct relay_request {
	struct relay_shared *shared;
	struct httpd_request *httpd_req;
	struct request_info info;
	struct routes *routes;
	const struct route *route;
	/* The service that the request itself is sent to. */
	const struct service *service;
	/* NULL if the request has no known API key. */
	const struct key_owner *caller_key;
	struct request_parts parts;
	int rank; /* 0 is the most urgent */
	usec_t arrived;
	usec_t soft_deadline; /* a later response counts as late */
	/*
	 * End of the caller's deadline budget or the route's timeout, whichever
	 * is first.
	 */
	usec_t deadline;
	struct event *timer;
	struct late_read late_read;     /* of the call, at the deadline */
	struct stopping_read stop_read; /* the same, before the exit */
	GList link;

	/* Used by stages.c. */
	struct stage_progress stages[ROUTE_MAX_STAGES];
	struct buf inputs; /* handles of the request's own inputs */
	uint32_t input_losses;
	/* Stage work that comes next is a repetition, not yet charged. */
	bool repeats_work;

	/* Used by forward.c. */
	struct target_call *call;
	char target_id[64];
	char tried[LOADS_MAX_TRIED][64];
	bool rejected_rest[LOADS_MAX_TRIED]; /* by the tried target */
	size_t n_tried;
	uint32_t sends;
	/*
	 * The placer's number of the call that is being placed, or of the last
	 * one while it runs; 0: it has none.
	 */
	uint64_t placement;
	/* Domain or group of engines whose placer was asked last. */
	char placement_domain[ENGINE_GROUP_NAME_BYTES];
	bool placed_elsewhere; /* it was another one than before */
	struct placed placed;  /* the last call */
	bool executed;         /* the last call's target began to answer it */
	usec_t sent_at;        /* time of the last call */
	usec_t first_sent_at;  /* of the first one; 0: none */
	uint32_t reading;      /* prompt tokens that the target reads */
	/*
	 * Limits the wait for the call's next bytes; without a call, the time
	 * until the request is sent again.  NULL: none.
	 */
	struct event *response_timer;
	struct resume_wait resume_wait;
	bool given_up;          /* a silent call, for another target */
	bool way_lost;          /* of the last call; its target is not */
	uint64_t events_before; /* the last call: events of earlier ones */
	/* Software versions of the last call's target, and of the stream. */
	char call_version[STREAM_VERSION_BYTES];
	char version[STREAM_VERSION_BYTES];  /* empty: any */
	struct resume_search *resume_search; /* NULL: none */
	/* The response is held back until it is done; NULL: none. */
	struct stream_recording *recording;
	usec_t recorded_at;   /* when the version was noted last; 0: never */
	bool answer_reported; /* the last call's answer has begun */
	usec_t events_at;     /* first event; 0: none */
	usec_t last_event_at;
	usec_t longest_pause; /* between events */
	/* A call was sent whose response did not say "not run". */
	bool may_have_run;
	struct response_info response;
	int response_status;
	/* The header section of the response has been sent. */
	bool head_written;
	struct sse sse;
};

/* Why a request ended without being served; see base/err.h. */
struct rejection {
	enum err_kind kind;
	usec_t retry_after; /* value for Retry-After; 0: none */
	const char *cause;  /* sent to the caller and logged */
};

struct relay_request_opts {
	struct relay_shared *shared;
	struct httpd_request *httpd_req; /* NULL: it is only explained */
	usec_t arrived;
	const struct request_info *info;
	struct routes *routes;
	const struct route *route;
	const struct key_owner *caller_key; /* NULL: no known API key */
	const struct request_parts *parts;
};

/* Time that a request on the route has at most, from its arrival. */
usec_t relay_request_budget(
    const struct route *route, const struct request_info *info);

/* A request as it arrived; its strings point into the message. */
struct admission {
	struct request_info info;
	const struct route *route;          /* NULL: none was found */
	const struct key_owner *caller_key; /* NULL: no known API key */
	struct request_parts parts;
};

/*
 * Whether the relay takes a request; if not, sets why.  routes may be NULL.
 * Counts nothing.
 */
bool relay_request_admit(struct relay_shared *s, const struct routes *routes,
    const struct httpmsg *m, struct admission *out, struct rejection *why);
/* Fills the state that an accepted request has at first, of zeroes. */
void relay_request_init(
    struct relay_request *r, const struct relay_request_opts *o);
/* Creates the state of an accepted request and starts its stages. */
void relay_request_start(const struct relay_request_opts *o);
/* Id of the attempt that began the request's stream: maybe its own. */
struct str relay_stream_id(const struct request_info *info);
/* caller_key may be NULL. */
struct request_parts relay_request_parts(const struct httpmsg *m,
    const struct request_info *info, const struct key_owner *caller_key);
/*
 * Whether a request with these parts is quarantined; if so, sets why it is
 * rejected.
 */
bool relay_quarantined(const struct relay_shared *s,
    const struct part_set *parts, struct rejection *why);
/* Answers the request with an error and frees it. */
void relay_request_reject(struct relay_request *r, const struct rejection *why);
/*
 * Counts and logs the end of a request and frees it.  Finish the HTTP
 * response only afterwards: that frees the bytes that info points to.
 */
void relay_request_done(struct relay_request *r, const char *outcome);
struct retry_quota *relay_request_retry_quota(struct relay_request *r);
/*
 * Notes the version that begins the stream; its first events are held back
 * until the version would survive the loss of all hosts.
 */
void relay_request_record(struct relay_request *r);
/*
 * Notes it again when hosts and store may soon forget it; call it with each
 * event.
 */
void relay_request_record_again(struct relay_request *r);
/* Sends what is held back. */
void relay_request_uncork(struct relay_request *r);
/* Frees a request that has no call. */
void relay_request_free(struct relay_request *r);

/* Prepares what the stages of all requests share (stages.c). */
void stages_init(struct relay_shared *shared);
void stages_free(struct relay_shared *shared);
/*
 * Notes that the caller of a rejected request may come back, and limits its
 * Retry-After to the time that it has left (stages.c).
 */
void stages_rejected(const struct relay_request *r, struct rejection *why);
/* Runs the stages, then sends the request to its target (stages.c). */
void stages_start(struct relay_request *r);
/*
 * Rejects a request that waits for targets which get nothing, as their failure
 * domains are evacuated; returns whether it has.
 */
bool stages_reject_evacuated(struct relay_request *r);
/* Runs the stages again after a result that the request needs was lost. */
void stages_restart(struct relay_request *r);
/* Drops the results; the next stages_resume makes all of them again. */
void stages_drop(struct relay_request *r);
bool stages_are_done(const struct relay_request *r);
/*
 * Goes on with the stages that aren't done, then sends the request.  The quota
 * of stage work is charged for what is made again.
 */
void stages_resume(struct relay_request *r);

/* What the stages of a request that has just arrived would do. */
struct stages_view {
	struct chain chain;
	enum chain_verdict verdict;
	usec_t excess; /* time by which they don't fit */
	struct stage_view {
		bool needed;
		bool starts; /* at once */
		/* Domain of its coordinator; empty: the service isn't split. */
		char domain[64];
		char coordinator[MAX_ADDR_BYTES]; /* empty: this host */
		usec_t wait;                      /* reported from there */
	} stages[ROUTE_MAX_STAGES];
};

/*
 * Fills the view and returns whether the stages would start, or the request be
 * sent if it needs none; if not, sets why.  Changes nothing.
 */
bool stages_peek(const struct relay_request *r, struct stages_view *v,
    struct rejection *why);
/* Limits the Retry-After of a rejected request to the time that it has left. */
void stages_limit_retry(const struct relay_request *r, struct rejection *why);
/* Approximate size in bytes of the request's own inputs. */
uint64_t stages_input_bytes(const struct relay_request *r);
/* Frees the results, which are no longer needed. */
void stages_release(struct relay_request *r);
void stages_cancel(struct relay_request *r);

/* Sends the request to a target and passes the response back (forward.c). */
void forward_start(struct relay_request *r);
/* Fills the query that chooses a target for the request. */
void forward_query(const struct relay_request *r, struct loads_query *query);
/*
 * Returns the target that this host would choose for a first call now, and the
 * query that it is chosen by; or NULL, and why.  Changes nothing.
 */
const struct target_load *forward_peek(const struct relay_request *r,
    struct loads_query *query, struct rejection *why, usec_t now);
/* Whom a first call would be placed by; sets only r->placement_domain. */
struct placements_view forward_peek_place(struct relay_request *r);
void forward_cancel(struct relay_request *r);
/*
 * A stream that has begun, or a request that was taken from a silent target, is
 * sent again once its stages and a target allow it; returns false if it may not
 * be, or if no time is left.
 */
bool forward_resume_later(struct relay_request *r, const char *cause);
/*
 * The path to the service is lost: a silent direct call is made again, where
 * that is allowed.
 */
void forward_path_lost(struct relay_request *r);

#endif
