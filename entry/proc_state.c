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
	struct proc_state *p = xcalloc(1, sizeof(*p));

	p->current = xcalloc(1, sizeof(*p->current));
	return p;
}

void
proc_state_publish(struct proc_state *p, const struct proc_snapshot *s)
{
	struct proc_snapshot *fresh = xcalloc(1, sizeof(*fresh));
	struct proc_snapshot *old;

	*fresh = *s;
	if (fresh->conf != NULL)
		conf_ref(fresh->conf);
	old = rcu_xchg_pointer(&p->current, fresh);
	urcu_memb_synchronize_rcu();
	free_snapshot(old);
}

struct conf *
proc_state_conf(struct proc_state *p)
{
	struct conf *c;

	urcu_memb_read_lock();
	c = rcu_dereference(p->current)->conf;
	if (c != NULL)
		conf_ref(c);
	urcu_memb_read_unlock();
	return c;
}

void
proc_state_drain(struct proc_state *p)
{
	atomic_store(&p->draining, true);
}

bool
proc_state_draining(struct proc_state *p)
{
	return atomic_load(&p->draining);
}

void
proc_state_supersede(struct proc_state *p)
{
	atomic_store(&p->superseded, true);
}

bool
proc_state_superseded(struct proc_state *p)
{
	return atomic_load(&p->superseded);
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
proc_state_free(struct proc_state *p)
{
	free_snapshot(p->current);
	free(p);
}
