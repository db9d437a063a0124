#include "tests/load/fleet.h"

#include <stdio.h>
#include <stdlib.h>

#define POLL_INTERVAL (1 * USEC_PER_SEC)
#define POLL_TIMEOUT  (1 * USEC_PER_SEC)
#define LOOK_AWAY     (1 * USEC_PER_SEC)

struct member {
	struct fleet *fleet;
	char callers[32];
	char operators[32];
	uint64_t call; /* 0: none under way */
	bool ready;
	usec_t away_until;
};

struct fleet {
	struct fleet_opts o;
	struct member v[FLEET_MOST];
	size_t next;
	usec_t polled;
};

static void
on_ready(void *arg, const struct http_event *ev)
{
	struct member *m = arg;

	switch (ev->kind) {
	case HTTP_HEAD:
		m->ready = ev->status == 200;
		return;
	case HTTP_CHUNK:
		return;
	case HTTP_FAIL:
		m->ready = false;
		break;
	case HTTP_END:
		break;
	}
	m->call = 0;
}

static void
ask(struct member *m)
{
	char url[64];

	if (m->call != 0)
		return;
	snprintf(url, sizeof(url), "http://%s/readyz", m->operators);
	m->call = http_start(m->fleet->o.loop,
	    &(struct http_opts){
		.url = url,
		.timeout = POLL_TIMEOUT,
		.handler = on_ready,
		.arg = m,
	    });
}

struct fleet *
fleet_new(const struct fleet_opts *o)
{
	struct fleet *f = xcalloc(1, sizeof(*f));

	f->o = *o;
	if (f->o.n > FLEET_MOST)
		f->o.n = FLEET_MOST;
	for (size_t i = 0; i < f->o.n; i++) {
		struct member *m = &f->v[i];

		m->fleet = f;
		m->ready = true;
		snprintf(m->callers, sizeof(m->callers), "%s.%zu:%u", o->net,
		    i + 1, o->port);
		snprintf(m->operators, sizeof(m->operators), "%s.%zu:%u",
		    o->net, i + 1, o->port + 1);
	}
	return f;
}

void
fleet_tick(struct fleet *f, usec_t now)
{
	if (now - f->polled < POLL_INTERVAL)
		return;
	f->polled = now;
	for (size_t i = 0; i < f->o.n; i++)
		ask(&f->v[i]);
}

int
fleet_pick(struct fleet *f, usec_t now)
{
	for (size_t k = 0; k < f->o.n; k++) {
		size_t i = f->next++ % f->o.n;

		if (f->v[i].ready && f->v[i].away_until <= now)
			return (int)i;
	}
	return -1;
}

void
fleet_refused(struct fleet *f, int i, usec_t now)
{
	f->v[i].away_until = now + LOOK_AWAY;
}

const char *
fleet_rpc_addr(const struct fleet *f, int i, bool operators)
{
	return operators ? f->v[i].operators : f->v[i].callers;
}

size_t
fleet_size(const struct fleet *f)
{
	return f->o.n;
}

void
fleet_free(struct fleet *f)
{
	free(f);
}
