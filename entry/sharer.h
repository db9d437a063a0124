/*
 * Carries shares of workspace limits between sequoiads: measures what each
 * workspace would use here, reports it to the workspace's owner, and hands the
 * granted shares to the traffic thread.
 */
#ifndef ENTRY_SHARER_H
#define ENTRY_SHARER_H

#include "entry/rpc.h"
#include "entry/traffic.h"
#include "kernel/member.h"

struct sharer;

struct sharer_opts {
	struct rpc *rpc;
	const char *id;
	uint64_t incarnation;
	usec_t now;
};

struct sharer *sharer_new(const struct sharer_opts *o);
/* Who lives has changed; listed: sequoiads in the host list. */
void sharer_members(
    struct sharer *s, struct members *m, uint32_t listed, usec_t now);
/* Measures demand and sends reports that are due. */
void sharer_tick(struct sharer *s, const struct conf *conf, struct traffic *t,
    struct members *m, usec_t now);
/* PEER_SHARE_REPORT and PEER_SHARE_REPLY. */
void sharer_letter(struct sharer *s, const peer_letter *l, usec_t now);
void sharer_free(struct sharer *s);

#endif
