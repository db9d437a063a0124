/*
 * Counts the bytes that the connections and calls of a process hold, against
 * the bound of kernel/memory.h, and stops and resumes their reading.
 *
 * An account belongs to one thread; the accounts of all threads share a
 * struct host_memory, which is guarded by a lock.  Without a host_memory (NULL)
 * nothing is counted and nothing waits.  Sizes are in bytes.
 */
#ifndef PLAT_HELD_H
#define PLAT_HELD_H

#include "kernel/memory.h"

#include <event2/buffer.h>
#include <event2/event.h>

struct host_memory;
struct held_runner;

/* What one connection or call holds. */
struct held {
	struct host_memory *memory; /* or NULL */
	struct held_runner *runner; /* or NULL */
	struct memory_holder holder;
	/*
	 * Reading may go on; called by held_run, on the thread that calls it.
	 * May be NULL.
	 */
	void (*go_on)(void *arg);
	/* An answer is to be broken off, as its receiver is too slow. */
	void (*break_off)(void *arg);
	void *arg;
	size_t counted; /* as set by held_set */
	bool cut; /* is to be broken off; for accounts without break_off */
};

struct held_opts {
	struct host_memory *memory; /* or NULL */
	struct held_runner *runner; /* calls go_on and break_off; or NULL */
	enum memory_use use;
	void (*go_on)(void *arg);
	void (*break_off)(void *arg);
	void *arg;
};

struct held_counts {
	size_t limit;
	size_t total;
	size_t highest;
	size_t by_use[MEMORY_USES];
	uint64_t waits;
	uint64_t refused;
	uint64_t cut;
};

/*
 * Makes the bound of a process that may take so many megabytes, or the memory
 * of its machine if that is less.
 */
struct host_memory *host_memory_open(size_t megabytes);
/* limit is that of memory_init. */
struct host_memory *host_memory_new(size_t limit);
/* All functions take NULL for a process that counts nothing. */
struct held_counts host_memory_counts(struct host_memory *m);
/*
 * Returns free memory to the system when that is due, and logs when the room
 * becomes short or enough again; call it regularly, from one thread.
 */
void host_memory_tick(struct host_memory *m);
void host_memory_free(struct host_memory *m);

void held_init(struct held *h, const struct held_opts *o);
/* An item of unknown length has n bytes at most, and no more than MEMORY_ITEM.
 */
void held_limit(struct held *h, size_t n);
/* Forgets what the account holds; it must not be used afterwards. */
void held_end(struct held *h);
void held_add(struct held *h, size_t n);
void held_drop(struct held *h, size_t n);
/* Counts n bytes instead of those that the last held_set has counted. */
void held_set(struct held *h, size_t n);
/*
 * Counts the bytes of an evbuffer from now on, until it is freed; the account
 * has to last longer.
 */
void held_watch(struct held *h, struct evbuffer *b);
/* Ends that, before held_end; what the evbuffer holds stays counted. */
void held_unwatch(struct held *h, struct evbuffer *b);
/*
 * Whether reading may go on; need is the size of the whole item, or 0 if it
 * isn't known.  If not, go_on is called when it may; until then this returns
 * false.
 */
bool held_may_read(struct held *h, size_t need);
/* Bytes that may be read before held_may_read is asked again. */
size_t held_room(const struct held *h);
/*
 * Whether an answer is to be broken off, for accounts without break_off, which
 * may belong to any thread.
 */
bool held_is_cut(const struct held *h);
/* Another receiver takes the answer: it is not broken off for the last one. */
void held_next_receiver(struct held *h);
/*
 * As memory_reads_on, of what is unsent of an answer; without a host_memory
 * true.
 */
bool held_reads_on(const struct held *h, bool paused);
bool held_is_waiting(const struct held *h);
/* As memory_waited. */
usec_t held_waited(const struct held *h);
/* The item is complete: no more of it is read. */
void held_complete(struct held *h);
/* The largest item that ever fits; SIZE_MAX without a host_memory. */
size_t held_largest(const struct held *h);
bool held_fits(const struct held *h, size_t n);
/* As memory_can_grow. */
bool held_can_grow(const struct held *h, size_t n);
/* As memory_refuses and memory_refuses_complete. */
bool held_refuses(struct held *h);
bool held_refuses_complete(struct held *h, size_t body_bytes);
/*
 * Waits until n more bytes of an item may be read, and counts them; returns
 * false after MEMORY_REQUEST_WAIT.  For threads that read one request each.
 */
bool held_wait(struct held *h, size_t n, size_t need);

/*
 * Calls go_on of the accounts of a pool that may read on, and with
 * MEMORY_ANSWERS break_off of the slowest receivers; to be called often by the
 * thread that these accounts belong to.  Returns whether more are waiting.
 */
bool held_run(struct host_memory *m, enum memory_pool pool);

/*
 * Calls held_run for requests and answers every few milliseconds while accounts
 * that name this runner wait, on the thread of their event loop; m may be NULL.
 */
struct held_runner *held_runner_new(
    struct host_memory *m, struct event_base *base);
void held_runner_free(struct held_runner *r);

#endif
