/*
 * Finds the parts of requests that crash targets: of their prompts, or their
 * content.
 *
 * Load pattern: requests that share a part of their prompts, or one request
 * again and again, come at all hosts, and each target that begins an answer
 * crashes.  Few targets may all crash at the same moment, and again when they
 * are back.  Sound requests share the other parts, wait on the same targets and
 * end with them; one host sees only some of the crashes; many targets, or all,
 * may crash within a second for another reason.  So the calls without an answer
 * at a crash are gathered from all hosts.  A part is to blame if it was among
 * them in several crashes at different times, and no target has answered a
 * request with it since.  A part that targets answered before the crashes needs
 * more evidence, over a longer time.
 *
 * Where targets crash again and again for another reason, any part is at some
 * of the crashes by chance, and most hosts that got answers on it lost no call.
 * So the collectors ask all hosts about a part before they blame it: whether
 * targets answered on it, and how many calls were answered and lost meanwhile.
 * If nearly all calls are lost, it proves nothing that those with the part are.
 *
 * Parts that came together in all these calls are blamed as a set, as none of
 * them can be told from the others yet.  A crash is blamed on one set only, so
 * requests that only happened to be there are not blamed by and by.  Of two
 * sets that explain as many crashes, neither is blamed until more is known,
 * unless one contains the other: then the larger one is, as it stops fewer
 * requests.
 *
 * Times are in microseconds.  A struct crash_suspects is for the targets of one
 * service and belongs to one thread.
 */
#ifndef KERNEL_CRASH_SUSPECTS_H
#define KERNEL_CRASH_SUSPECTS_H

#include "base/clock.h"
#include "kernel/part_set.h"
#include "kernel/rendezvous.h"

#include <glib.h>

/* Calls of one crash that are kept. */
#define CRASH_MAX_CALLS    64
/* An answer has begun for certain with this many events. */
#define CRASH_BEGUN_EVENTS 2

/* Hosts that gather the reports of all: if one is lost the others have them. */
#define CRASH_COLLECTORS   3

/* Calls that were answered, and lost without an answer. */
struct call_counts {
	uint64_t answered;
	uint64_t lost;
};

struct crash_suspects {
	GPtrArray *crashes;       /* struct crash, oldest first */
	GHashTable *known;        /* parts that were answered before; a set */
	GHashTable *asked;        /* part -> struct asked_part */
	GHashTable *hosts;        /* id -> struct call_counts, as last told */
	struct call_counts calls; /* of all hosts, since they first told */
	usec_t asked_at;          /* the last question; 0: none yet */
	bool waiting; /* call crash_suspects_ask() and _blame() again soon */
};

/* Parts to blame for crashes. */
struct crash_blame {
	struct part_set parts;
	uint32_t crashes;
	bool known; /* targets had answered on all of them before */
};

/*
 * Chooses the collectors among the live hosts; returns their number.  A host
 * that drains isn't live itself: self, its id, is chosen if it knows no other.
 */
size_t crash_collectors(const struct rendezvous_host *v, size_t n,
    const char *self, const char *out[CRASH_COLLECTORS]);

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
/* Targets answered on these parts before a crash. */
void crash_suspects_known(
    struct crash_suspects *s, const struct part_set *parts);
/* Targets have answered on these parts: they are not to blame. */
void crash_suspects_answered(
    struct crash_suspects *s, const struct part_set *parts);
/* A host tells how many calls it has counted since it started. */
void crash_suspects_calls(struct crash_suspects *s, const char *host,
    const struct call_counts *calls);
/*
 * Writes the parts that all hosts are to be asked about now, and notes that
 * they are; returns whether there are any.  The collectors have a rank, so that
 * usually only the first asks.
 */
bool crash_suspects_ask(
    struct crash_suspects *s, uint32_t rank, usec_t now, struct part_set *out);
/* Another collector asks all hosts about these parts. */
void crash_suspects_asked(
    struct crash_suspects *s, const struct part_set *parts, usec_t now);
/* Returns whether parts are to blame, and forgets the crashes they explain. */
bool crash_suspects_blame(
    struct crash_suspects *s, usec_t now, struct crash_blame *out);
void crash_suspects_free(struct crash_suspects *s);

#endif
