/*
 * Internal state of the calls to targets: target_calls.c makes calls and tests
 * paths, target_answers.c notes what the answers say, served_calls.c makes
 * calls for other hosts.
 */
#ifndef ENTRY_TARGET_CALLS_STATE_H
#define ENTRY_TARGET_CALLS_STATE_H

#include "base/hash.h"
#include "base/rng.h"
#include "entry/target_calls.h"
#include "kernel/paths.h"
#include "kernel/target_start.h"

/* Covers many round trips between failure domains. */
#define CONNECT_TIMEOUT (150 * USEC_PER_MSEC)

/* Fields of the requests and responses between hosts. */
#define AUTH_FIELD      "Sequoia-Call-Auth"
#define ID_FIELD        "Sequoia-Call-Id"
#define RESULT_FIELD    "Sequoia-Call-Result"
/* With NOT_SENT: milliseconds for which the target is cold. */
#define COLD_FIELD      "Sequoia-Call-Cold-Ms"

/* Values of RESULT_FIELD. */
#define ANSWERED        "answered" /* the rest is the target's response */
#define NO_PATH         "no-path"  /* of the host to the target: not sent */
#define AT_REST         "at-rest"  /* the target wants nothing of the host */
#define NOT_SENT        "not-sent"
#define BROKEN          "broken"
#define CUT             "cut" /* sent; the host exits before it is answered */
/* Stands for 404 without the field: the host makes no calls for others. */
#define UNABLE          "unable"
/* Stands for Retry-After without the field: it has no room for the call. */
#define NO_ROOM         "no-room"

struct target_calls {
	struct target_calls_opts o;
	struct paths paths;
	struct rng rng;
	GQueue served; /* struct served_call */
	struct stopping stopping;
	bool stopped;
	struct target_calls_counts counts;
};

struct target_call {
	struct target_calls *calls;
	struct dial_call *dial;
	/*
	 * The strings and the body are owned by the call; the shared body is
	 * that of its maker, or the call's own.
	 */
	struct dial_opts o;
	char service[64];
	char target[64];
	usec_t started_at;
	bool direct;
	bool direct_only;
	char host[MAX_NAME_BYTES + 1]; /* that makes the call; or empty */
	uint32_t hosts_tried;
	/* Of checks of the connection (kernel/target_start.h). */
	uint32_t checks;
	enum target_start start; /* as the last one has shown */
	bool host_able;          /* a host reported AT_REST or NO_ROOM */
	const char *failure;     /* result other than ANSWERED; or NULL */
	bool answered;           /* by the target, by way of a host */
	bool way_lost;           /* as in target_call_lost_way */
	bool cold;               /* its target, when the call was counted */
	bool refused_cold;       /* as in target_call_refused_cold */
};

/* Makes the call on a direct connection; false if none could be started. */
bool target_call_start_direct(struct target_call *k);
/* Returns a call that has not been started; o as for dial_start. */
struct target_call *target_call_new(struct target_calls *x,
    const struct target_load *t, const struct dial_opts *o);
/*
 * Notes what the head of a target's answer says of it: to a call of this host,
 * direct or by way of another one, or to one that is made for another.
 */
void target_call_note_answer(struct target_call *k, const struct httpmsg *m);
/* Frees a call that is not in progress. */
void target_call_free(struct target_call *k);
/*
 * HMAC of a request between hosts, which covers all that is used of it; its
 * body is that of head and the bytes after it.
 */
void target_calls_sign(const struct target_calls *x, struct str url,
    struct str id, struct str head, struct evbuffer *rest,
    char mac[HASH_HEX_LEN + 1]);
/* Ends the calls for other hosts that would last until the exit. */
void target_calls_cut_served(struct target_calls *x, usec_t now);
/* Ends the calls for other hosts. */
void target_calls_end_served(struct target_calls *x);

#endif
