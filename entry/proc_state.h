/*
 * What the control thread publishes to all others: an immutable snapshot,
 * replaced as a whole through RCU.  Every thread that reads it registers with
 * liburcu first.
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
void proc_state_publish(struct proc_state *ss, const struct proc_snapshot *s);
/* The configuration in force with a reference for the caller, or NULL. */
struct conf *proc_state_conf(struct proc_state *ss);
/* From now on this process leaves; nothing takes it back. */
void proc_state_drain(struct proc_state *ss);
bool proc_state_draining(struct proc_state *ss);
/* A newer process has this one's id; nothing takes it back. */
void proc_state_supersede(struct proc_state *ss);
bool proc_state_superseded(struct proc_state *ss);
/* Callbacks of CivetWeb that register its threads with liburcu. */
void *proc_state_thread_begin(const struct mg_context *ctx, int kind);
void proc_state_thread_end(const struct mg_context *ctx, int kind, void *arg);
void proc_state_free(struct proc_state *ss);

#endif
