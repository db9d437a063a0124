/*
 * The limits that targets name in their answers, and targets that say that they
 * are brittle: notes them, and tells and hears them from the other hosts
 * (kernel/overload/target_limit.h, kernel/overload/target_brittle.h).
 *
 * Runs on the relay's thread.
 */
#ifndef ENTRY_TARGET_LIMITS_H
#define ENTRY_TARGET_LIMITS_H

#include "entry/rpc.h"
#include "entry/view.h"
#include "kernel/loads.h"
#include "platform/request.h"

struct target_limits;

struct target_limits_opts {
	struct loads *loads;
	struct rpc *rpc;
	const char *self; /* id of this host */
};

struct target_limits *target_limits_new(const struct target_limits_opts *o);
/* Sets the live hosts, an array of struct view_peer. */
void target_limits_set_hosts(
    struct target_limits *x, const GArray *peers, usec_t now);
/*
 * A target has answered a request that was sent at a time.  only_here: no other
 * host sends to the target.
 */
void target_limits_answered(struct target_limits *x, struct target_load *t,
    const struct response_info *response, usec_t sent_at, bool only_here);
/*
 * A target has answered, and says or doesn't say for how long it is cold;
 * sent_at: as for target_cold_answered().
 */
void target_limits_cold(struct target_limits *x, struct target_load *t,
    const struct response_info *response, usec_t sent_at);
/* Another host tells for how long a target is cold. */
void target_limits_cold_told(
    struct target_limits *x, struct target_load *t, uint64_t left_ms);
/* Number of targets that are cold, of services that have a bound for it. */
size_t target_limits_cold_count(const struct target_limits *x);
/*
 * A target has answered a request that was sent at a time, and says or doesn't
 * say that it is brittle (kernel/overload/target_brittle.h).
 */
void target_limits_brittle(struct target_limits *x, struct target_load *t,
    const struct response_info *response, usec_t sent_at);
/* Handles a PEER_LIMIT or PEER_BRITTLE datagram. */
void target_limits_receive(struct target_limits *x, const peer_body *body);
/* Tells the other hosts what is due; call it regularly. */
void target_limits_tick(struct target_limits *x, usec_t now);
/* Number of targets with a limit. */
size_t target_limits_count(const struct target_limits *x);
void target_limits_free(struct target_limits *x);

#endif
