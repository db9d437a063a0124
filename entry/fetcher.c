#include "entry/fetcher.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

struct fetcher {
	struct fetcher_opts o;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wakeup;
	bool busy;
	bool stopping;
	char addr[MAX_ADDR_BYTES];
	char name[HASH_HEX_LEN + 1];
	usec_t silence;
};

/* Moves the value of a result. */
static void
take_value(peer_result *r, struct buf *out)
{
	size_t n = r->value.value_len;

	out->p = xrealloc(r->value.value_val, n + 1, 1);
	out->p[n] = '\0';
	out->n = n;
	out->cap = n + 1;
	r->value.value_val = NULL;
	r->value.value_len = 0;
}

static void
fetch(struct fetcher *f)
{
	struct inbox_msg *m = inbox_msg_new(INBOX_FETCHED);
	peer_query q = {
		.kind = PEER_GET_VALUE,
		.name = f->name,
		.workspace = "",
	};
	peer_result r;

	snprintf(m->fetched.name, sizeof(m->fetched.name), "%s", f->name);
	held_init(&m->fetched.held,
	    &(struct held_opts){ .memory = f->o.memory, .use = MEMORY_STORE });
	if (rpc_fetch(f->o.rpc,
		&(struct rpc_fetch_opts){ .addr = f->addr,
		    .query = &q,
		    .timeout = f->silence,
		    .held = &m->fetched.held },
		&r) == 0) {
		m->fetched.replied = true;
		m->fetched.found = r.found != 0;
		m->fetched.revision = r.revision;
		take_value(&r, &m->fetched.value);
		rpc_result_free(&r);
	}
	inbox_put(f->o.inbox, m);
	f->o.wake(f->o.arg);
}

static void *
run(void *arg)
{
	struct fetcher *f = arg;

	pthread_mutex_lock(&f->lock);
	while (!f->stopping) {
		if (!f->busy) {
			pthread_cond_wait(&f->wakeup, &f->lock);
			continue;
		}
		pthread_mutex_unlock(&f->lock);
		fetch(f);
		pthread_mutex_lock(&f->lock);
		f->busy = false;
	}
	pthread_mutex_unlock(&f->lock);
	return NULL;
}

struct fetcher *
fetcher_start(const struct fetcher_opts *o)
{
	struct fetcher *f = xcalloc(1, sizeof(*f));

	f->o = *o;
	pthread_mutex_init(&f->lock, NULL);
	pthread_cond_init(&f->wakeup, NULL);
	pthread_create(&f->thread, NULL, run, f);
	return f;
}

bool
fetcher_request(
    struct fetcher *f, const char *addr, const char *name, usec_t silence)
{
	bool idle;

	pthread_mutex_lock(&f->lock);
	idle = !f->busy;
	if (idle) {
		f->busy = true;
		f->silence = silence;
		snprintf(f->addr, sizeof(f->addr), "%s", addr);
		snprintf(f->name, sizeof(f->name), "%s", name);
		pthread_cond_signal(&f->wakeup);
	}
	pthread_mutex_unlock(&f->lock);
	return idle;
}

void
fetcher_stop(struct fetcher *f)
{
	pthread_mutex_lock(&f->lock);
	f->stopping = true;
	pthread_cond_signal(&f->wakeup);
	pthread_mutex_unlock(&f->lock);
	pthread_join(f->thread, NULL);
	pthread_cond_destroy(&f->wakeup);
	pthread_mutex_destroy(&f->lock);
	free(f);
}
