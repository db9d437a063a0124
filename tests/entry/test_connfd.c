#include "entry/connfd.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* What the caller does, and how its end then looks. */
struct look_case {
	const char *name;
	enum {
		STAYS,
		STOPS_SENDING,
		CLOSES,
		RESETS
	} does;
	bool probe; /* bytes are sent to it before the look */
	enum connfd_peer_state want;
};

static const struct look_case looks[] = {
	{ "stays", STAYS, false, CONNFD_OPEN },
	{ "stays and reads", STAYS, true, CONNFD_OPEN },
	{ "stops sending", STOPS_SENDING, false, CONNFD_HALF_CLOSED },
	{ "stops sending and reads", STOPS_SENDING, true, CONNFD_HALF_CLOSED },
	{ "closes", CLOSES, false, CONNFD_HALF_CLOSED },
	{ "closes and is probed", CLOSES, true, CONNFD_CLOSED },
	{ "resets", RESETS, false, CONNFD_CLOSED },
};

/* Both ends of a connection, and what CivetWeb says of it. */
struct pair {
	int caller;
	int server;
	struct mg_request_info info;
};

static void
open_pair(struct pair *p)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t n = sizeof(a);
	int l = socket(AF_INET, SOCK_STREAM, 0);

	memset(p, 0, sizeof(*p));
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(l, (struct sockaddr *)&a, n), ==, 0);
	g_assert_cmpint(listen(l, 1), ==, 0);
	getsockname(l, (struct sockaddr *)&a, &n);
	p->info.server_port = ntohs(a.sin_port);
	p->caller = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(connect(p->caller, (struct sockaddr *)&a, n), ==, 0);
	n = sizeof(a);
	p->server = accept(l, (struct sockaddr *)&a, &n);
	p->info.remote_port = ntohs(a.sin_port);
	strcpy(p->info.remote_addr, "127.0.0.1");
	close(l);
}

static void
leave(struct pair *p, int does)
{
	struct linger now = { 1, 0 };

	if (does == STAYS)
		return;
	if (does == STOPS_SENDING) {
		shutdown(p->caller, SHUT_WR);
		return;
	}
	if (does == RESETS)
		setsockopt(p->caller, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(p->caller);
	p->caller = -1;
}

static void
test_look(const void *arg)
{
	const struct look_case *c = arg;
	struct pair p;

	open_pair(&p);
	leave(&p, c->does);
	if (c->probe)
		g_assert_cmpint(send(p.server, "x", 1, MSG_NOSIGNAL), ==, 1);
	g_assert_cmpint(connfd_state(p.server), ==, c->want);
	if (p.caller >= 0)
		close(p.caller);
	close(p.server);
}

static void
test_find(void)
{
	struct pair a;
	struct pair b;

	open_pair(&a);
	open_pair(&b);
	g_assert_cmpint(connfd_find(&a.info), ==, a.server);
	g_assert_cmpint(connfd_find(&b.info), ==, b.server);
	close(a.server);
	g_assert_cmpint(connfd_find(&a.info), ==, -1);
	close(a.caller);
	close(b.caller);
	close(b.server);
}

/* Only a body that is overdue has its connection cut. */
static void
test_sweep(void)
{
	struct connfd_reads *g = connfd_new();
	struct pair p[2];
	struct connfd_read late = { .info = &p[0].info, .deadline = 10 };
	struct connfd_read due = { .info = &p[1].info, .deadline = 20 };

	open_pair(&p[0]);
	open_pair(&p[1]);
	connfd_begin_read(g, &late);
	connfd_begin_read(g, &due);
	connfd_sweep(g, 15);
	g_assert_true(late.shut_down);
	g_assert_false(due.shut_down);
	g_assert_cmpint(recv(p[0].server, &(char){ 0 }, 1, 0), ==, 0);
	connfd_end_read(g, &late);
	connfd_end_read(g, &due);
	connfd_sweep(g, 30);
	g_assert_false(due.shut_down);
	connfd_free(g);
	for (int i = 0; i < 2; i++) {
		close(p[i].caller);
		close(p[i].server);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(looks); i++) {
		g_autofree char *path =
		    g_strdup_printf("/guard/look/%s", looks[i].name);

		g_test_add_data_func(path, &looks[i], test_look);
	}
	g_test_add_func("/guard/find", test_find);
	g_test_add_func("/guard/sweep", test_sweep);
	return g_test_run();
}
