/*
 * A host that sent a large configuration to slow receivers handled nothing else
 * meanwhile: no datagrams, no queries of other hosts.
 */
#include "entry/rpc.h"
#include "plat/addr.h"

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define OWN_ADDR    "127.0.0.1:25594"
#define HOST_ADDR   "127.0.0.1:25595"
#define TIMEOUT     (500 * USEC_PER_MSEC)
#define LATEST      (12 * USEC_PER_SEC)
#define PIECE_BYTES ((size_t)64 * 1024)
#define LAST        0x80000000U

/* Hosts that ask for a value and take its bytes at their own speed. */
static const struct receiver_case {
	const char *name;
	unsigned int n;
	size_t bytes;      /* of the value */
	size_t per_second; /* that each reads; 0: none */
	bool whole;        /* each gets the whole value */
} receivers[] = {
	{ "one-reads-nothing", 1, PEER_VALUE_MAX, 0, false },
	{ "nine-read-nothing", 9, PEER_VALUE_MAX, 0, false },
	{ "one-slow", 1, PEER_VALUE_MAX, 2000000, true },
	{ "five-slow", 5, 4000000, 1000000, true },
};

/* A datagram and a small reply are handled within this time meanwhile. */
#define PROMPT        (500 * USEC_PER_MSEC)
#define MAX_RECEIVERS 9
#define TICK          (1 * USEC_PER_MSEC)
#define MAX_TICK      (5 * USEC_PER_MSEC)
#define QUERY_BYTES   4096

/* When the last datagram was delivered. */
static _Atomic usec_t delivered_at;

static void
on_letter(void *arg, peer_letter *l)
{
	(void)arg;
	(void)l;
	atomic_store(&delivered_at, clock_now());
}

/* Returns a value of as many bytes as arg points to, or no value. */
static void
on_fetch(void *arg, const peer_query *q, peer_result *r)
{
	const size_t *n = arg;

	if (q->kind != PEER_GET_VALUE)
		return;
	r->found = true;
	r->value.value_len = (u_int)*n;
	r->value.value_val = xcalloc(1, *n + 1);
}

static struct rpc *
start(size_t *value_bytes)
{
	struct err e = { 0 };
	struct rpc *r = rpc_start(
	    &(struct rpc_opts){
		.id = "a",
		.addr = OWN_ADDR,
		.fleet_key = "key",
		.deliver = on_letter,
		.fetch = on_fetch,
		.arg = value_bytes,
	    },
	    &e);

	g_assert_nonnull(r);
	return r;
}

static int
listen_at_host(void)
{
	struct sockaddr_in at;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	g_assert_true(addr_parse(STR(HOST_ADDR), &at));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&at, sizeof(at)), ==, 0);
	g_assert_cmpint(listen(fd, 1), ==, 0);
	return fd;
}

static void *
fetch_from_host(void *arg)
{
	struct held held;
	peer_query q = { .kind = PEER_GET_VALUE, .name = "x", .workspace = "" };
	peer_result out;

	held_init(&held, &(struct held_opts){ .use = MEMORY_STORE });
	g_assert_cmpint(rpc_fetch(arg,
			    &(struct rpc_fetch_opts){ .addr = HOST_ADDR,
				.query = &q,
				.timeout = TIMEOUT,
				.held = &held },
			    &out),
	    ==, ERR_PEER);
	held_end(&held);
	return NULL;
}

/* Returns the bytes of a query, as this process sends them to another host. */
static size_t
record_query(struct rpc *r, char out[QUERY_BYTES])
{
	int listener = listen_at_host();
	pthread_t thread;
	size_t n = 0;
	ssize_t got;
	int fd;

	pthread_create(&thread, NULL, fetch_from_host, r);
	fd = accept(listener, NULL, NULL);
	while ((got = recv(fd, out + n, QUERY_BYTES - n, 0)) > 0) {
		uint32_t mark;

		n += (size_t)got;
		memcpy(&mark, out, sizeof(mark));
		if (n >= 4 && n == 4 + (ntohl(mark) & ~LAST))
			break;
	}
	close(fd);
	close(listener);
	pthread_join(thread, NULL);
	return n;
}

/* Connects to this process, with little room for what it replies. */
static int
connect_receiver(const char *query, size_t n)
{
	struct sockaddr_in at;
	int room = 16 * 1024;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_true(addr_parse(STR(OWN_ADDR), &at));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
	g_assert_cmpint(connect(fd, (struct sockaddr *)&at, sizeof(at)), ==, 0);
	g_assert_cmpint(send(fd, query, n, MSG_NOSIGNAL), ==, (ssize_t)n);
	return fd;
}

/* Reads at a speed until the reply ends; returns the number of bytes. */
static size_t
receive(const int *fds, size_t n, size_t per_second, size_t *counts)
{
	static char piece[PIECE_BYTES];
	usec_t began = clock_now();
	size_t least = SIZE_MAX;
	bool open = true;

	while (open && clock_now() - began < LATEST) {
		size_t due =
		    per_second * (size_t)(clock_now() - began) / USEC_PER_SEC;

		open = false;
		for (size_t i = 0; i < n; i++) {
			ssize_t got = 1;

			while (counts[i] < due && got > 0) {
				got = recv(fds[i], piece,
				    MIN(sizeof(piece), due - counts[i]),
				    MSG_DONTWAIT);
				if (got > 0)
					counts[i] += (size_t)got;
			}
			open |= got != 0;
		}
		g_usleep(10 * USEC_PER_MSEC);
	}
	for (size_t i = 0; i < n; i++)
		least = MIN(least, counts[i]);
	return least;
}

struct small_fetch {
	struct rpc *r;
	usec_t took;
	atomic_bool ended;
};

static void *
fetch_small(void *arg)
{
	struct small_fetch *x = arg;
	struct held held;
	peer_query q = {
		.kind = PEER_GET_REQUEST, .name = "small", .workspace = ""
	};
	peer_result out;
	usec_t began = clock_now();

	held_init(&held, &(struct held_opts){ .use = MEMORY_STORE });
	g_assert_cmpint(rpc_fetch(x->r,
			    &(struct rpc_fetch_opts){ .addr = OWN_ADDR,
				.query = &q,
				.timeout = LATEST,
				.held = &held },
			    &out),
	    ==, 0);
	rpc_result_free(&out);
	held_end(&held);
	x->took = clock_now() - began;
	atomic_store(&x->ended, true);
	return NULL;
}

/*
 * Waits for the datagram and the small reply; returns for how long this thread
 * got no processor meanwhile.
 */
static usec_t
wait_for_both(const struct small_fetch *small)
{
	usec_t began = clock_now();
	usec_t last = began;
	usec_t lost = 0;

	while (
	    (atomic_load(&delivered_at) == 0 || !atomic_load(&small->ended)) &&
	    clock_now() - began < LATEST) {
		g_usleep(TICK);
		lost += MAX(clock_now() - last - MAX_TICK, 0);
		last = clock_now();
	}
	return lost;
}

static void
test_slow_receivers(gconstpointer p)
{
	const struct receiver_case *x = p;
	size_t n = x->bytes;
	struct rpc *r = start(&n);
	peer_body body = { .kind = PEER_PIECE_FREE };
	char query[QUERY_BYTES];
	size_t query_bytes = record_query(r, query);
	size_t counts[MAX_RECEIVERS] = { 0 };
	int fds[MAX_RECEIVERS];
	struct small_fetch small = { .r = r };
	pthread_t thread;
	usec_t sent_at;
	usec_t lost;

	body.peer_body_u.piece_free =
	    (peer_piece_free){ .service = (char *)"", .handles = (char *)"" };
	for (unsigned int i = 0; i < x->n; i++)
		fds[i] = connect_receiver(query, query_bytes);
	g_usleep(100 * USEC_PER_MSEC);
	sent_at = clock_now();
	atomic_store(&delivered_at, 0);
	rpc_send(r, OWN_ADDR, &body);
	pthread_create(&thread, NULL, fetch_small, &small);
	lost = wait_for_both(&small);
	g_assert_cmpint(delivered_at, !=, 0);
	g_assert_cmpint(delivered_at - sent_at - lost, <, PROMPT);
	g_assert_cmpint(small.took - lost, <, PROMPT);
	if (x->whole)
		g_assert_cmpuint(
		    receive(fds, x->n, x->per_second, counts), >=, x->bytes);
	pthread_join(thread, NULL);
	for (unsigned int i = 0; i < x->n; i++)
		close(fds[i]);
	rpc_stop(r);
	rpc_free(r);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(receivers); i++) {
		g_autofree char *path =
		    g_strconcat("/slow-receivers/", receivers[i].name, NULL);

		g_test_add_data_func(path, &receivers[i], test_slow_receivers);
	}
	return g_test_run();
}
