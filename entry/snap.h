/*
 * What the control thread publishes to all others: an immutable snapshot,
 * replaced as a whole through RCU.  Every thread that reads it registers with
 * liburcu first.
 */
#ifndef ENTRY_SNAP_H
#define ENTRY_SNAP_H

#include "kernel/conf.h"

struct snap {
	struct conf *conf; /* NULL until the first configuration */
};

struct snaps;
struct mg_context;

struct snaps *snaps_new(void);
/* Publishes a copy of s; the snapshot takes its own reference on conf. */
void snaps_publish(struct snaps *ss, const struct snap *s);
/* The configuration in force with a reference for the caller, or NULL. */
struct conf *snaps_conf(struct snaps *ss);
/* From now on this process leaves; nothing takes it back. */
void snaps_drain(struct snaps *ss);
bool snaps_draining(struct snaps *ss);
/* A newer process has this one's id; nothing takes it back. */
void snaps_supersede(struct snaps *ss);
bool snaps_superseded(struct snaps *ss);
/* Callbacks of CivetWeb that register its threads with liburcu. */
void *snaps_thread_begin(const struct mg_context *ctx, int kind);
void snaps_thread_end(const struct mg_context *ctx, int kind, void *arg);
void snaps_free(struct snaps *ss);

#endif
