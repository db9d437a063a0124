/*
 * What the parts of the fault soak share: the fleet, the faults, the callers.
 */
#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include "base/rng.h"
#include "tests/platform/harness.h"
#include "tests/soak/judge.h"
#include "tests/soak/proxy.h"

#include <stdatomic.h>

#define SOAK_MAX_HOSTS JUDGE_MAX_HOSTS
#define SOAK_TARGETS   9

struct soak_kind {
	const char *path, *prefix, *extra_fields;
	bool stream, non_idempotent;
};

#define SOAK_KINDS 5

extern const struct soak_kind soak_kinds[SOAK_KINDS];
extern const struct fakeplat_target soak_targets[SOAK_TARGETS];

struct soak {
	struct fakeplat *platform;
	struct proxy *proxy;
	struct harness_host hosts[SOAK_MAX_HOSTS];
	int n_hosts;
	int store_links[SOAK_MAX_HOSTS]; /* from each host to the store */
	int target_links[SOAK_TARGETS];
	/* The last configuration version that each process reported. */
	atomic_ullong last_versions[SOAK_MAX_HOSTS];
	atomic_int version; /* of the newest configuration */
	/* Until then targets may answer slower than they did before. */
	atomic_llong slow_until;
	uint64_t seed;
	bool planned; /* no unplanned fault of a host or target */
	/* No fault is active: no answer may be aborted. */
	atomic_bool faults_over;
	atomic_bool stopping;
	atomic_int violations;
};

extern struct soak soak;

void soak_report(const char *what, const char *id);

/* faults.c */

/* Puts the next configuration, with a route of its own, in force. */
void faults_put_config(void);
/* The idle limit, and the routes' timeout, of a configuration. */
usec_t faults_idle_limit(int version);
usec_t faults_timeout(int version);
/*
 * Injects faults for some seconds, which overlap, and clears them; check is
 * called between them.
 */
void faults_run(uint64_t seed, int seconds, void (*check)(int host));

/* Evacuates the failure domain of p2, e2 and s2, or takes that back. */
#define SOAK_EVACUATION "op/evacuate/d2"
void faults_evacuate(bool begins);

/* loads.c */

/* Returns a comma and the JSON text of its routes, to be freed with g_free. */
char *loads_config(void);
/* Loads hosts until the faults are over; its targets listen from a port on. */
void loads_start(uint64_t seed, uint16_t port);
void loads_stop(void);
/* Checks what a host holds, by its metrics, and the memory that it takes. */
void loads_check(int host, const char *metrics);

/* stops.c: hosts that get SIGTERM, and what they log of that */

/* Whether the process has exited, before it is waited for. */
bool stops_has_exited(int host);
/* Sends SIGTERM. */
void stops_begin(int host);
/* Sends SIGCONT to a host that may have got SIGTERM. */
void stops_resume(int host);
/* The process has exited after SIGTERM, and has been waited for. */
void stops_end(int host);
/* The stop of a host has cut the answer of a request. */
void stops_note_cut(const char *id);
/* Checks the noted cuts, once all hosts have exited. */
void stops_report(void);

/* callers.c */

void callers_start(uint64_t seed);
/* Waits until the callers have ended, as soak.stopping tells them. */
void callers_stop(void);
/* Checks the refused requests, and prints what was sent and excused. */
void callers_report(uint64_t seed);

#endif
