/*
 * Finds the parts of prompts that crash targets.
 *
 * Load pattern: requests that share a part of their prompts come at all hosts,
 * and each target that begins an answer on one crashes.  Sound requests share
 * the other parts, wait on the same targets and end with them; one host sees
 * only some of the crashes; many targets may crash at once for another reason.
 * So the calls without an answer at a crash are gathered from all hosts.  A
 * part is to blame if it was among them in several crashes at different times,
 * and no target has answered a request with it since.
 *
 * Parts that came together in all these calls are blamed as a set, as none of
 * them can be told from the others yet.  A crash is blamed on one set only, so
 * requests that only happened to be there are not blamed by and by.  Of two
 * sets that explain as many crashes, neither is blamed until more is known,
 * unless one contains the other: then the larger one is, as it stops fewer
 * requests.
 *
 * Times are in microseconds.  A struct crash_suspects belongs to one thread.
 */
#ifndef KERNEL_CRASH_SUSPECTS_H
#define KERNEL_CRASH_SUSPECTS_H

#include "base/clock.h"
#include "kernel/part_set.h"
#include "kernel/rendezvous.h"

#include <glib.h>

/*
 * Crashes, moments apart from each other, and different prompts until a part
 * is blamed.
 */
#define CRASH_BLAME_MIN    3
/* Crashes until a single prompt, sent again and again, is blamed. */
#define CRASH_BLAME_SINGLE 5
/* Calls of one crash that are kept. */
#define CRASH_MAX_CALLS    64
/* An answer has begun for certain with this many events. */
#define CRASH_BEGUN_EVENTS 2

/* Hosts that gather the reports of all: if one is lost the others have them. */
#define CRASH_COLLECTORS   3

struct crash_suspects {
	GPtrArray *crashes; /* struct crash, oldest first */
};

/* Chooses the collectors among the live hosts; returns their number. */
size_t crash_collectors(const struct rendezvous_host *v, size_t n,
    const char *out[CRASH_COLLECTORS]);

void crash_suspects_init(struct crash_suspects *s);
/*
 * A target has crashed with a call that had no answer yet.  Calls of one crash
 * may be reported one by one, by several hosts.
 */
void crash_suspects_add(struct crash_suspects *s, const char *target,
    const struct part_set *parts, usec_t now);
/* The crash of a target has a known cause: its calls are not suspect. */
void crash_suspects_explain(
    struct crash_suspects *s, const char *target, usec_t now);
/* Targets have answered on these parts: they are not to blame. */
void crash_suspects_answered(
    struct crash_suspects *s, const struct part_set *parts);
/*
 * Returns the number of crashes that the given parts are now blamed for, and
 * forgets these; 0 if there is nothing to blame.
 */
uint32_t crash_suspects_blame(struct crash_suspects *s, struct part_set *out);
void crash_suspects_free(struct crash_suspects *s);

#endif
