#include "entry/snap.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <urcu/urcu-memb.h>

struct snaps {
	struct snap *now;
	atomic_bool draining;
	atomic_bool superseded;
};

static void
free_snap(struct snap *s)
{
	if (s == NULL)
		return;
	conf_unref(s->conf);
	free(s);
}

struct snaps *
snaps_new(void)
{
	struct snaps *ss = xcalloc(1, sizeof(*ss));

	ss->now = xcalloc(1, sizeof(*ss->now));
	return ss;
}

void
snaps_publish(struct snaps *ss, const struct snap *s)
{
	struct snap *fresh = xcalloc(1, sizeof(*fresh));
	struct snap *old;

	*fresh = *s;
	if (fresh->conf != NULL)
		conf_ref(fresh->conf);
	old = rcu_xchg_pointer(&ss->now, fresh);
	urcu_memb_synchronize_rcu();
	free_snap(old);
}

struct conf *
snaps_conf(struct snaps *ss)
{
	struct conf *c;

	urcu_memb_read_lock();
	c = rcu_dereference(ss->now)->conf;
	if (c != NULL)
		conf_ref(c);
	urcu_memb_read_unlock();
	return c;
}

void
snaps_drain(struct snaps *ss)
{
	atomic_store(&ss->draining, true);
}

bool
snaps_draining(struct snaps *ss)
{
	return atomic_load(&ss->draining);
}

void
snaps_supersede(struct snaps *ss)
{
	atomic_store(&ss->superseded, true);
}

bool
snaps_superseded(struct snaps *ss)
{
	return atomic_load(&ss->superseded);
}

void *
snaps_thread_begin(const struct mg_context *ctx, int kind)
{
	(void)ctx;
	(void)kind;
	urcu_memb_register_thread();
	return NULL;
}

void
snaps_thread_end(const struct mg_context *ctx, int kind, void *arg)
{
	(void)ctx;
	(void)kind;
	(void)arg;
	urcu_memb_unregister_thread();
}

void
snaps_free(struct snaps *ss)
{
	free_snap(ss->now);
	free(ss);
}
