#include "tests/plat/reset_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "a part"
#define OK   "HTTP/1.1 200 OK\r\n"

const struct answer_case reset_cases[N_RESET_CASES] = {
	{ "no length, reset before", OK "\r\n" PART, RESET_BEFORE, false },
	{ "no length, reset at", OK "\r\n" PART, RESET_AT, false },
	{ "no length, reset after", OK "\r\n" PART, RESET_AFTER, false },
	{ "no length, closed", OK "\r\n" PART, CLOSED_AFTER, true },
	{ "a length, reset before", OK "Content-Length: 90\r\n\r\n" PART,
	    RESET_BEFORE, false },
	{ "a length, reset at", OK "Content-Length: 90\r\n\r\n" PART, RESET_AT,
	    false },
	{ "a length, reset after", OK "Content-Length: 90\r\n\r\n" PART,
	    RESET_AFTER, false },
	{ "chunks, reset before",
	    OK "Transfer-Encoding: chunked\r\n\r\n6\r\n" PART "\r\n",
	    RESET_BEFORE, false },
	{ "chunks, reset at",
	    OK "Transfer-Encoding: chunked\r\n\r\n6\r\n" PART "\r\n", RESET_AT,
	    false },
	{ "chunks, reset after",
	    OK "Transfer-Encoding: chunked\r\n\r\n6\r\n" PART "\r\n",
	    RESET_AFTER, false },
};

static void
read_bytes(int fd, size_t n)
{
	static char buf[65536];
	ssize_t got = 1;

	while (n > 0 && got > 0) {
		got = recv(fd, buf, MIN(n, sizeof(buf)), 0);
		n -= got > 0 ? (size_t)got : 0;
	}
}

static void
read_head(int fd)
{
	static const char end[] = "\r\n\r\n";
	size_t matched = 0;
	char c;

	while (end[matched] != '\0' && recv(fd, &c, 1, 0) == 1)
		matched = c == end[matched] ? matched + 1 : c == '\r';
}

static gpointer
serve(gpointer arg)
{
	struct reset_server *s = arg;
	struct linger reset = { 1, 0 };
	int fd = accept(s->fd, NULL, NULL);

	read_head(fd);
	send(fd, s->c->answer, strlen(s->c->answer), MSG_NOSIGNAL);
	while (g_atomic_int_get(&s->client_has_part) == 0)
		g_usleep(1000);
	if (s->c->ending != RESET_BEFORE)
		read_bytes(fd, s->body_bytes);
	if (s->c->ending == RESET_AFTER)
		g_usleep(20000);
	if (s->c->ending != CLOSED_AFTER)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	return NULL;
}

void
reset_server_open(
    struct reset_server *s, const struct answer_case *c, size_t body_bytes)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);

	*s = (struct reset_server){ .c = c, .body_bytes = body_bytes };
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(s->fd, (struct sockaddr *)&sa, len), ==, 0);
	g_assert_cmpint(listen(s->fd, 1), ==, 0);
	getsockname(s->fd, (struct sockaddr *)&sa, &len);
	g_snprintf(
	    s->addr, sizeof(s->addr), "127.0.0.1:%d", ntohs(sa.sin_port));
	s->thread = g_thread_new("target", serve, s);
}

void
reset_server_close(struct reset_server *s)
{
	g_thread_join(s->thread);
	close(s->fd);
}
