/*
 * Replays requests against engines in virtual time.  An engine reads prompts in
 * chunks between the tokens of the requests that run there, in the order in
 * which they came; a step takes longer the more it reads and runs.  Each host
 * either chooses engines alone or asks a placer.
 */
#ifndef TESTS_KERNEL_ENGINE_REPLAY_H
#define TESTS_KERNEL_ENGINE_REPLAY_H

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	REPLAY_LONG,
	REPLAY_SHORT,
	REPLAY_KINDS
};

struct replay_opts {
	uint32_t placers; /* 0: each host chooses alone */
	/* Each placer has a group of the engines (engine_groups.h). */
	bool grouped;
	uint32_t engines;
	uint32_t slow;  /* engines that take slow_by times as long */
	double slow_by; /* and say so unless silent is set */
	bool silent;    /* load reports don't say how long work takes */
	double noise;   /* of the time that work takes */
	uint32_t per_s[REPLAY_KINDS];
	uint32_t things; /* shared parts; 0: prompts are repeated */
	uint32_t lost;   /* engines that end in the middle */
	bool host_lost;  /* one of the hosts does so */
	uint64_t seed;
};

struct replay_count {
	uint32_t sent;
	uint32_t ended;
	uint32_t on_time; /* first event and all gaps */
	uint32_t late_first;
	uint32_t late_gap;
	uint32_t refused;
	usec_t longest_hold; /* until it was placed or refused */
	uint64_t read;       /* tokens */
};

struct replay_result {
	struct replay_count kinds[REPLAY_KINDS];
	usec_t longest_gap;
	double step_us; /* processor time of a decision */
};

void replay(const struct replay_opts *o, struct replay_result *out);

#endif
