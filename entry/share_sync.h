/*
 * Distributes the limits of workspaces over the sequoiads: measures the demand
 * of each workspace here, reports it to the sequoiad that owns the workspace,
 * and passes the granted shares to the traffic thread.  kernel/shares decides
 * on reports and grants.  All functions belong to the control thread.
 */
#ifndef ENTRY_SHARE_SYNC_H
#define ENTRY_SHARE_SYNC_H

#include "entry/rpc.h"
#include "entry/traffic.h"
#include "kernel/member.h"

struct share_sync;

struct share_sync_opts {
	struct rpc *rpc;
	const char *id;
	uint64_t incarnation;
	usec_t now; /* the time of creation */
};

struct share_sync *share_sync_new(const struct share_sync_opts *o);
/* Sets the live sequoiads; listed is the number in the host list. */
void share_sync_set_members(
    struct share_sync *s, struct members *m, uint32_t listed, usec_t now);
/* Measures demand, passes shares to t and sends the reports that are due. */
void share_sync_tick(struct share_sync *s, const struct conf *conf,
    struct traffic *t, struct members *m, usec_t now);
/* Handles a PEER_SHARE_REPORT or PEER_SHARE_REPLY datagram. */
void share_sync_receive(struct share_sync *s, const peer_letter *l, usec_t now);
void share_sync_free(struct share_sync *s);

#endif
