/*
 * When a process has been told to stop, which requests it still takes, which it
 * gives up before its exit, and when it may end.
 *
 * Load patterns.  A process gets SIGTERM under load, and callers that have just
 * connected, or that keep connections open, send it requests until it is gone.
 * What still runs at the exit is cut off, while what is refused as not run is
 * sent elsewhere at once.  So from the signal on a request is taken only if it
 * ends before the exit: by its deadline, or, while the load balancer still
 * routes here, by the longest time that requests of its kind have lately taken.
 * A request whose stages take so long that its call would last beyond the exit,
 * or whose call may do so as none of its kind was measured, is refused when
 * that is known.
 *
 * Other hosts have a host that stops coordinate stages and call targets for
 * them.  They can have a stage done elsewhere at once, but learn of an exit by
 * time-outs only.  So a job that would last beyond the exit is handed back as
 * soon as that is known, and calls end a little before the exit.
 *
 * A process that stands still, as one without processor time does, handles its
 * signal late, but the platform kills it as long after the signal as any other.
 * So the stop is counted from the last moment at which no signal was pending.
 * Requests that arrive while the process stands still wait in its sockets, and
 * no part of it has seen them when it goes on.
 *
 * Times are in microseconds.
 */
#ifndef KERNEL_STOPPING_H
#define KERNEL_STOPPING_H

#include "base/clock.h"

#include <stdbool.h>
#include <stddef.h>

/* Looks for a signal; starts as zeros. */
struct stopping_watch {
	usec_t clear_at;  /* the last look that found none */
	usec_t signal_at; /* earliest time of the signal; 0: none */
};

/*
 * A look at time now, and whether a signal to stop is pending then.  Returns
 * signal_at, which doesn't change once it is set.
 */
usec_t stopping_look(struct stopping_watch *w, bool pending, usec_t now);

/* The times of a stop; all 0 while there is none. */
struct stopping {
	usec_t signal_at;
	usec_t drained_at; /* the load balancer has stopped routing here */
	usec_t exit_at;    /* end of the process, before it would be killed */
	usec_t forced_at;  /* the same, whatever its threads do */
	/* The process saw its signal; 0: unknown.  The owner sets it. */
	usec_t seen_at;
};

/* The platform kills the process the time grace after the signal. */
struct stopping stopping_plan(usec_t signal_at, usec_t drain, usec_t grace);

/*
 * When the process stops serving at the latest, with a signal that it sees now:
 * at its exit, or once requests that it finds after a standstill are answered.
 */
usec_t stopping_last_exit(const struct stopping *s, usec_t now);

/* Waits for the end of a stop; starts as zeros. */
struct stopping_wait {
	usec_t seen_at; /* the last call of stopping_is_over */
	usec_t ends_at;
};

/*
 * To be called every 50 ms.  Returns whether the process stops serving now:
 * after a standstill it first answers what has arrived in it.
 */
bool stopping_is_over(
    const struct stopping *s, struct stopping_wait *w, usec_t now);

/* How long a request that arrives now lasts at most. */
struct stopping_need {
	usec_t budget;   /* until its deadline */
	usec_t expected; /* by those of its kind; 0: none was measured */
};

/* Whether a request that arrives now is taken. */
bool stopping_takes(
    const struct stopping *s, const struct stopping_need *need, usec_t now);

/*
 * Whether a connection that has been idle for the given time is closed.  A
 * caller often sends its next request as soon as it has an answer, or has
 * connected.
 */
bool stopping_closes_idle(usec_t idle);

/* Whether the load balancer has stopped routing here. */
bool stopping_is_drained(const struct stopping *s, usec_t now);

/*
 * Whether a process that rejects what it hasn't taken stops listening: callers
 * that come back at once would keep it from ending.  has_taken: requests that
 * it has taken still run.
 */
bool stopping_ends_listening(
    const struct stopping *s, bool has_taken, usec_t now);

/*
 * Which requests that have arrived in part are refused now; of the others,
 * bytes are unread that may be their rest.
 */
enum stopping_partial {
	STOPPING_NONE,
	STOPPING_READ,
	STOPPING_ALL
};
enum stopping_partial stopping_refuses_partial(
    const struct stopping *s, usec_t now);

/* A request in progress. */
struct stopping_request {
	bool sent;      /* a target may have run it */
	bool answering; /* the caller has got a part of its answer */
	/* Of a request that is not sent, once it is sent. */
	struct stopping_need need;
};

/* Whether a request gets a failure now, as it can't end before the exit. */
bool stopping_gives_up(
    const struct stopping *s, const struct stopping_request *r, usec_t now);

/* An answer that is read while its request can be given up; starts as zeros. */
struct stopping_read {
	usec_t since;
};

/*
 * Whether a request that can be given up, or a call that can be broken off,
 * isn't yet, as the rest of its answer may have arrived: bytes of its target
 * are there that are not read yet.
 */
bool stopping_reads_on(struct stopping_read *r, bool has_input, usec_t now);

/*
 * Whether work for another host that is expected to end at a time is handed
 * back to it now, or isn't begun: the other host has it done elsewhere, and is
 * told before the exit.
 */
bool stopping_hands_back(const struct stopping *s, usec_t ends_at, usec_t now);

/* A target of work that waits. */
struct stopping_target {
	usec_t free_at;  /* its call ends, or it is used again */
	double slowness; /* duration of its calls, in expected durations */
};

/*
 * When a call that waits for one of n targets ends at the earliest, if it is
 * expected to take a time; INT64_MAX without targets.
 */
usec_t stopping_earliest_end(const struct stopping_target *targets, size_t n,
    usec_t expected, usec_t now);

/*
 * Whether a call for another host that is being answered is broken off now, so
 * that the other host knows before the exit that the answer is incomplete.
 */
bool stopping_breaks_off(const struct stopping *s, usec_t now);

/*
 * When what a request may have done is recorded as unknown, in time for the
 * record to be stored before the exit.
 */
usec_t stopping_settles_at(const struct stopping *s);

/* What is left to do. */
struct stopping_work {
	bool callers; /* connections of callers, open or to be accepted */
	bool calls;   /* requests, and calls for other hosts */
	bool stages;  /* jobs of other hosts that this one coordinates */
};

/*
 * Whether the process may end before its exit time, once its answers to other
 * hosts are sent.
 */
bool stopping_may_end(
    const struct stopping *s, const struct stopping_work *w, usec_t now);

/* What only this process knows, and others need after its exit. */
struct stopping_facts {
	bool undecided; /* it waits for replies to find out */
	bool unsent;
	bool writing;   /* the store has not confirmed a write */
	bool has_store; /* the store answers this process */
};

/* Whether the process waits for the store, until its exit time at most. */
bool stopping_saves(const struct stopping_facts *f);

/* Time without requests; starts as zeros. */
struct stopping_quiet {
	usec_t since;
	usec_t seen_at; /* the last call of stopping_is_quiet */
};

/*
 * To be called every 20 ms with whether there are requests.  Returns whether
 * there have been none for so long that callers that had connected have been
 * answered too.  Only time in which the process ran counts.
 */
bool stopping_is_quiet(struct stopping_quiet *q, bool busy, usec_t now);

#endif
