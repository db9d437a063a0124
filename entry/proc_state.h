/*
 * Process-wide state for all threads: the configuration in force, and whether
 * the process drains or was superseded.
 *
 * The control thread publishes the configuration as an immutable snapshot,
 * replaced as a whole through RCU.  A thread must register with liburcu before
 * it calls proc_state_conf.
 */
#ifndef ENTRY_PROC_STATE_H
#define ENTRY_PROC_STATE_H

#include "kernel/conf.h"

struct proc_snapshot {
	struct conf *conf; /* NULL until the first configuration */
};

struct proc_state;
struct mg_context;

struct proc_state *proc_state_new(void);
/* Publishes a copy of s; the snapshot takes its own reference on conf. */
void proc_state_publish(struct proc_state *p, const struct proc_snapshot *s);
/* Returns the configuration in force with a reference added, or NULL. */
struct conf *proc_state_conf(struct proc_state *p);
/* Begins the drain of this process; cannot be undone. */
void proc_state_drain(struct proc_state *p);
bool proc_state_draining(struct proc_state *p);
/*
 * Marks this process as superseded by a newer one with the same id; cannot be
 * undone.
 */
void proc_state_supersede(struct proc_state *p);
bool proc_state_superseded(struct proc_state *p);
/* Callbacks of CivetWeb that register its threads with liburcu. */
void *proc_state_thread_begin(const struct mg_context *ctx, int kind);
void proc_state_thread_end(const struct mg_context *ctx, int kind, void *arg);
void proc_state_free(struct proc_state *p);

#endif
