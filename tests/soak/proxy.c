#include "tests/soak/proxy.h"
#include "base/str.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_LINKS 64
#define DELAY_MS  100

struct link {
	struct proxy *p;
	struct evconnlistener *listener;
	uint16_t to;
	enum proxy_fault fault;
	bool reset;   /* wanted of the proxy's thread */
	bool silence; /* the same */
	bool moved;   /* the same: what has waited goes on */
	GPtrArray *pairs;
};

struct pair {
	struct link *link;
	struct bufferevent *up;   /* the client's side */
	struct bufferevent *down; /* the server's */
	struct event *timer;
	bool silent;
};

struct proxy {
	pthread_t thread;
	pthread_mutex_t lock;
	struct event_base *base;
	struct event *kick;
	struct link links[MAX_LINKS];
	int n_links;
	bool stopping;
};

static void
free_pair(struct pair *x, bool reset)
{
	struct linger now = { 1, 0 };

	if (reset) {
		setsockopt(bufferevent_getfd(x->up), SOL_SOCKET, SO_LINGER,
		    &now, sizeof(now));
		setsockopt(bufferevent_getfd(x->down), SOL_SOCKET, SO_LINGER,
		    &now, sizeof(now));
	}
	g_ptr_array_remove_fast(x->link->pairs, x);
	event_free(x->timer);
	bufferevent_free(x->up);
	bufferevent_free(x->down);
	free(x);
}

/* Moves what has come, as the link's fault allows. */
static void
move(struct pair *x)
{
	enum proxy_fault f = x->link->fault;

	if (x->silent || f == PROXY_CUT_BOTH)
		return;
	if (f != PROXY_CUT_UP)
		bufferevent_write_buffer(x->down, bufferevent_get_input(x->up));
	if (f != PROXY_CUT_DOWN)
		bufferevent_write_buffer(x->up, bufferevent_get_input(x->down));
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pair *x = arg;

	(void)fd;
	(void)what;
	pthread_mutex_lock(&x->link->p->lock);
	move(x);
	pthread_mutex_unlock(&x->link->p->lock);
}

static void
on_bytes(struct bufferevent *bev, void *arg)
{
	struct pair *x = arg;
	struct proxy *p = x->link->p;
	struct timeval tv = { 0, DELAY_MS * 1000 };

	(void)bev;
	pthread_mutex_lock(&p->lock);
	if (x->link->fault == PROXY_DELAY)
		evtimer_add(x->timer, &tv);
	else
		move(x);
	pthread_mutex_unlock(&p->lock);
}

/* One side has closed: the other gets what is left, unless it is cut off. */
static void
on_change(struct bufferevent *bev, short what, void *arg)
{
	struct pair *x = arg;
	struct proxy *p = x->link->p;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	pthread_mutex_lock(&p->lock);
	if (x->link->fault == PROXY_NONE || x->link->fault == PROXY_DELAY) {
		move(x);
		bufferevent_flush(x->up, EV_WRITE, BEV_FLUSH);
		free_pair(x, (what & BEV_EVENT_ERROR) != 0);
	}
	pthread_mutex_unlock(&p->lock);
}

static void
on_conn(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int n, void *arg)
{
	struct link *k = arg;
	struct sockaddr_in at = { .sin_family = AF_INET,
		.sin_port = htons(k->to),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct pair *x = xcalloc(1, sizeof(*x));
	int flags = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;

	(void)l;
	(void)sa;
	(void)n;
	pthread_mutex_lock(&k->p->lock);
	x->link = k;
	x->up = bufferevent_socket_new(k->p->base, fd, flags);
	x->down = bufferevent_socket_new(k->p->base, -1, flags);
	x->timer = evtimer_new(k->p->base, on_timer, x);
	g_ptr_array_add(k->pairs, x);
	bufferevent_setcb(x->up, on_bytes, NULL, on_change, x);
	bufferevent_setcb(x->down, on_bytes, NULL, on_change, x);
	bufferevent_enable(x->up, EV_READ | EV_WRITE);
	bufferevent_enable(x->down, EV_READ | EV_WRITE);
	bufferevent_socket_connect(x->down, (struct sockaddr *)&at, sizeof(at));
	pthread_mutex_unlock(&k->p->lock);
}

static void
carry_out(struct link *k)
{
	for (guint i = 0; i < k->pairs->len; i++) {
		struct pair *x = k->pairs->pdata[i];

		x->silent = x->silent || k->silence;
		if (k->moved)
			move(x);
	}
	for (guint i = k->reset ? k->pairs->len : 0; i-- > 0;)
		free_pair(k->pairs->pdata[i], true);
	k->reset = k->silence = k->moved = false;
}

static void
on_kick(evutil_socket_t fd, short what, void *arg)
{
	struct proxy *p = arg;

	(void)fd;
	(void)what;
	pthread_mutex_lock(&p->lock);
	for (int i = 0; i < p->n_links; i++)
		carry_out(&p->links[i]);
	if (p->stopping)
		event_base_loopbreak(p->base);
	pthread_mutex_unlock(&p->lock);
}

static void *
run(void *arg)
{
	struct proxy *p = arg;

	event_base_loop(p->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

struct proxy *
proxy_start(void)
{
	struct proxy *p = xcalloc(1, sizeof(*p));

	evthread_use_pthreads();
	pthread_mutex_init(&p->lock, NULL);
	p->base = event_base_new();
	p->kick = event_new(p->base, -1, EV_PERSIST, on_kick, p);
	pthread_create(&p->thread, NULL, run, p);
	return p;
}

int
proxy_link(struct proxy *p, uint16_t from, uint16_t to)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
		.sin_port = htons(from),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct link *k = &p->links[p->n_links];

	g_assert_cmpint(p->n_links, <, MAX_LINKS);
	k->p = p;
	k->to = to;
	k->pairs = g_ptr_array_new();
	k->listener = evconnlistener_new_bind(p->base, on_conn, k,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_THREADSAFE |
		LEV_OPT_CLOSE_ON_EXEC,
	    256, (struct sockaddr *)&at, sizeof(at));
	g_assert_nonnull(k->listener);
	return p->n_links++;
}

void
proxy_set(struct proxy *p, int link, enum proxy_fault fault)
{
	pthread_mutex_lock(&p->lock);
	p->links[link].fault = fault;
	p->links[link].moved = fault == PROXY_NONE;
	pthread_mutex_unlock(&p->lock);
	event_active(p->kick, EV_TIMEOUT, 0);
}

void
proxy_reset(struct proxy *p, int link)
{
	pthread_mutex_lock(&p->lock);
	p->links[link].reset = true;
	pthread_mutex_unlock(&p->lock);
	event_active(p->kick, EV_TIMEOUT, 0);
}

void
proxy_silence(struct proxy *p, int link)
{
	pthread_mutex_lock(&p->lock);
	p->links[link].silence = true;
	pthread_mutex_unlock(&p->lock);
	event_active(p->kick, EV_TIMEOUT, 0);
}

void
proxy_stop(struct proxy *p)
{
	p->stopping = true;
	event_active(p->kick, EV_TIMEOUT, 0);
	pthread_join(p->thread, NULL);
	for (int i = 0; i < p->n_links; i++) {
		for (guint k = p->links[i].pairs->len; k-- > 0;)
			free_pair(p->links[i].pairs->pdata[k], false);
		g_ptr_array_unref(p->links[i].pairs);
		evconnlistener_free(p->links[i].listener);
	}
	event_free(p->kick);
	/* Lets go of what deferred callbacks still hold. */
	event_base_loop(p->base, EVLOOP_NONBLOCK);
	event_base_free(p->base);
	pthread_mutex_destroy(&p->lock);
	free(p);
}
