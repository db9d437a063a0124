/*
 * Carries shares of workspace limits between sequoiads: measures what each
 * workspace would use here, reports it to the workspace's owner, and hands the
 * granted shares to the traffic thread.
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
	usec_t now;
};

struct share_sync *share_sync_new(const struct share_sync_opts *o);
/* Who lives has changed; listed: sequoiads in the host list. */
void share_sync_set_members(
    struct share_sync *s, struct members *m, uint32_t listed, usec_t now);
/* Measures demand and sends reports that are due. */
void share_sync_tick(struct share_sync *s, const struct conf *conf,
    struct traffic *t, struct members *m, usec_t now);
/* PEER_SHARE_REPORT and PEER_SHARE_REPLY. */
void share_sync_receive(struct share_sync *s, const peer_letter *l, usec_t now);
void share_sync_free(struct share_sync *s);

#endif
