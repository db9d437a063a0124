#include "entry/proc_state.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <urcu/urcu-memb.h>

struct proc_state {
	struct proc_snapshot *current;
	atomic_bool draining;
	atomic_bool superseded;
};

static void
free_snapshot(struct proc_snapshot *s)
{
	if (s == NULL)
		return;
	conf_unref(s->conf);
	free(s);
}

struct proc_state *
proc_state_new(void)
{
	struct proc_state *ss = xcalloc(1, sizeof(*ss));

	ss->current = xcalloc(1, sizeof(*ss->current));
	return ss;
}

void
proc_state_publish(struct proc_state *ss, const struct proc_snapshot *s)
{
	struct proc_snapshot *fresh = xcalloc(1, sizeof(*fresh));
	struct proc_snapshot *old;

	*fresh = *s;
	if (fresh->conf != NULL)
		conf_ref(fresh->conf);
	old = rcu_xchg_pointer(&ss->current, fresh);
	urcu_memb_synchronize_rcu();
	free_snapshot(old);
}

struct conf *
proc_state_conf(struct proc_state *ss)
{
	struct conf *c;

	urcu_memb_read_lock();
	c = rcu_dereference(ss->current)->conf;
	if (c != NULL)
		conf_ref(c);
	urcu_memb_read_unlock();
	return c;
}

void
proc_state_drain(struct proc_state *ss)
{
	atomic_store(&ss->draining, true);
}

bool
proc_state_draining(struct proc_state *ss)
{
	return atomic_load(&ss->draining);
}

void
proc_state_supersede(struct proc_state *ss)
{
	atomic_store(&ss->superseded, true);
}

bool
proc_state_superseded(struct proc_state *ss)
{
	return atomic_load(&ss->superseded);
}

void *
proc_state_thread_begin(const struct mg_context *ctx, int kind)
{
	(void)ctx;
	(void)kind;
	urcu_memb_register_thread();
	return NULL;
}

void
proc_state_thread_end(const struct mg_context *ctx, int kind, void *arg)
{
	(void)ctx;
	(void)kind;
	(void)arg;
	urcu_memb_unregister_thread();
}

void
proc_state_free(struct proc_state *ss)
{
	free_snapshot(ss->current);
	free(ss);
}
