#include "entry/fleet.h"
#include "base/hash.h"
#include "base/rng.h"
#include "entry/gossiper.h"
#include "plat/hosts.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS_TIMEOUT    (2 * USEC_PER_SEC)
/* The service name of sequoiads in the host list. */
#define SEQUOIAD_SERVICE "sequoiad"
/* Number of sequoiads that watch the configuration log themselves. */
#define WATCHERS         32

struct fleet {
	struct fleet_opts o;
	struct hosts *hosts;
	pthread_mutex_t lock; /* held while the member table changes */
	struct gossiper *gossiper;
	struct listed_target *listed; /* the host list as last polled */
	size_t n_listed;
	uint32_t n_listed_sequoiads;
	usec_t hosts_read_at;
	/* Table and list versions at the last calls of the callbacks. */
	uint64_t notified_members;
	uint64_t notified_leaving;
};

/* Whether gossip reports a target as leaving. */
static bool
is_reported_leaving(const struct gossip *g, const struct listed_target *x)
{
	for (size_t i = 0; i < g->n_leaving; i++) {
		if (strcmp(g->leaving[i].addr, x->addr) == 0 &&
		    strcmp(g->leaving[i].service, x->service) == 0)
			return true;
	}
	return false;
}

/* Passes on the listed targets, marked as leaving where gossip reports it. */
static void
publish_targets(struct fleet *f)
{
	const struct gossip *g = gossiper_state(f->gossiper);
	struct listed_target *v = xcalloc(f->n_listed, sizeof(*v));
	size_t n = 0;

	f->notified_leaving = g->leaving_version;
	for (size_t i = 0; i < f->n_listed; i++) {
		if (strcmp(f->listed[i].service, SEQUOIAD_SERVICE) == 0)
			continue;
		v[n] = f->listed[i];
		if (is_reported_leaving(g, &v[n]))
			v[n].state = TARGET_LEAVING;
		n++;
	}
	f->o.targets_changed(f->o.arg, v, n);
	free(v);
}

/*
 * Spreads the targets that the new list shows as leaving, and makes the listed
 * sequoiads gossip contacts.
 */
static void
on_hosts(void *arg, const struct listed_target *v, size_t n)
{
	struct fleet *f = arg;
	const char **peers = xcalloc(n, sizeof(*peers));
	size_t n_peers = 0;

	free(f->listed);
	f->listed = xcalloc(n, sizeof(*v));
	f->n_listed = n;
	pthread_mutex_lock(&f->lock);
	for (size_t i = 0; i < n; i++) {
		f->listed[i] = v[i];
		if (strcmp(v[i].service, SEQUOIAD_SERVICE) == 0)
			peers[n_peers++] = v[i].addr;
		else if (v[i].state == TARGET_LEAVING)
			gossiper_target_leaving(
			    f->gossiper, v[i].service, v[i].addr, clock_now());
	}
	gossiper_set_contacts(f->gossiper, peers, n_peers);
	f->n_listed_sequoiads = (uint32_t)n_peers;
	f->notified_members = UINT64_MAX;
	pthread_mutex_unlock(&f->lock);
	free(peers);
	publish_targets(f);
}

struct fleet *
fleet_new(const struct fleet_opts *o)
{
	struct fleet *f = xcalloc(1, sizeof(*f));

	f->o = *o;
	pthread_mutex_init(&f->lock, NULL);
	f->notified_members = UINT64_MAX;
	f->hosts = hosts_new(&(struct hosts_opts){
	    .loop = o->loop,
	    .addr = o->settings->hosts,
	    .timeout = HOSTS_TIMEOUT,
	    .changed = on_hosts,
	    .memory = o->memory,
	    .arg = f,
	});
	f->gossiper = gossiper_new(&(struct gossiper_opts){
	    .settings = o->settings,
	    .rpc = o->rpc,
	    .incarnation = o->incarnation,
	    .seed = rng_entropy(),
	    .now = clock_now(),
	});
	return f;
}

void
fleet_tick(struct fleet *f, usec_t now, usec_t interval)
{
	const struct gossip *g = gossiper_state(f->gossiper);

	if (now - f->hosts_read_at >= interval) {
		f->hosts_read_at = now;
		hosts_poll(f->hosts);
	}
	pthread_mutex_lock(&f->lock);
	gossiper_tick(f->gossiper, now);
	pthread_mutex_unlock(&f->lock);
	if (g->members.version != f->notified_members) {
		f->notified_members = g->members.version;
		f->o.members_changed(f->o.arg, now);
	}
	if (g->leaving_version != f->notified_leaving)
		publish_targets(f);
}

void
fleet_receive(struct fleet *f, const peer_letter *l, usec_t now)
{
	pthread_mutex_lock(&f->lock);
	gossiper_receive(f->gossiper, l, now);
	pthread_mutex_unlock(&f->lock);
}

void
fleet_set_generation(struct fleet *f, uint64_t generation, usec_t now)
{
	pthread_mutex_lock(&f->lock);
	gossiper_set_generation(f->gossiper, generation, now);
	pthread_mutex_unlock(&f->lock);
}

void
fleet_drain(struct fleet *f, usec_t now)
{
	pthread_mutex_lock(&f->lock);
	gossiper_drain(f->gossiper, now);
	pthread_mutex_unlock(&f->lock);
}

void
fleet_leave(struct fleet *f, usec_t now)
{
	pthread_mutex_lock(&f->lock);
	gossiper_leave(f->gossiper, now);
	pthread_mutex_unlock(&f->lock);
}

void
fleet_notify_again(struct fleet *f)
{
	f->notified_members = UINT64_MAX;
	if (f->listed != NULL)
		f->notified_leaving = UINT64_MAX;
}

void
fleet_target_leaving(
    struct fleet *f, const char *service, const char *addr, usec_t now)
{
	pthread_mutex_lock(&f->lock);
	gossiper_target_leaving(f->gossiper, service, addr, now);
	pthread_mutex_unlock(&f->lock);
}

uint32_t
fleet_listed_count(const struct fleet *f)
{
	return f->n_listed_sequoiads;
}

struct members *
fleet_members(struct fleet *f)
{
	return &gossiper_state(f->gossiper)->members;
}

bool
fleet_is_watcher(struct fleet *f)
{
	uint64_t own_hash = hash_u64(str_from(f->o.settings->id), 1);
	size_t n_before = 0;
	size_t n;
	const char *const *ids = member_live(fleet_members(f), &n);

	for (size_t i = 0; i < n; i++) {
		if (hash_u64(str_from(ids[i]), 1) < own_hash)
			n_before++;
	}
	return n_before < WATCHERS;
}

size_t
fleet_report(struct fleet *f, struct member_info **v)
{
	const struct members *m = fleet_members(f);
	size_t n;

	pthread_mutex_lock(&f->lock);
	n = m->n;
	*v = xcalloc(n, sizeof(**v));
	for (size_t i = 0; i < n; i++)
		member_info(m, m->v[i], &(*v)[i]);
	pthread_mutex_unlock(&f->lock);
	return n;
}

bool
fleet_rpc_addr(struct fleet *f, uint32_t node, char out[MAX_ADDR_BYTES])
{
	const struct members *m = fleet_members(f);
	bool found = false;

	pthread_mutex_lock(&f->lock);
	for (size_t i = 0; !found && i < m->n; i++) {
		struct member_info x;

		member_info(m, m->v[i], &x);
		if ((uint32_t)hash_u64(str_from(x.id), 0) != node ||
		    x.state >= MEMBER_GONE)
			continue;
		memcpy(out, x.rpc, MAX_ADDR_BYTES);
		found = true;
	}
	pthread_mutex_unlock(&f->lock);
	return found;
}

void
fleet_free(struct fleet *f)
{
	hosts_free(f->hosts);
	gossiper_free(f->gossiper);
	free(f->listed);
	pthread_mutex_destroy(&f->lock);
	free(f);
}
