#include "tests/soak/kept.h"
#include "plat/httpmsg.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_LIMIT 65536

bool
kept_open(struct kept_conn *k, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int on = 1;

	k->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(k->fd, (struct sockaddr *)&addr, sizeof(addr)) != 0) {
		kept_close(k);
		return false;
	}
	setsockopt(k->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	k->idle_since = clock_now();
	return true;
}

void
kept_close(struct kept_conn *k)
{
	if (k->fd >= 0)
		close(k->fd);
	k->fd = -1;
}

/* Whether the socket has input, or its end, within a time. */
static bool
wait_input(const struct kept_conn *k, usec_t time)
{
	struct pollfd p = { .fd = k->fd, .events = POLLIN };

	return time >= 0 &&
	    poll(&p, 1, (int)((time + USEC_PER_MSEC - 1) / USEC_PER_MSEC)) > 0;
}

bool
kept_idle(struct kept_conn *k, usec_t time)
{
	char byte;

	if (!wait_input(k, time))
		return true;
	if (recv(k->fd, &byte, 1, MSG_PEEK) > 0)
		return false;
	kept_close(k);
	return true;
}

/*
 * Whether the connection had ended at the peer when the request was written:
 * on loopback its FIN or RST has arrived by then.
 */
static bool
has_ended(const struct kept_conn *k)
{
	struct tcp_info info = { 0 };
	socklen_t n = sizeof(info);

	return getsockopt(k->fd, IPPROTO_TCP, TCP_INFO, &info, &n) != 0 ||
	    info.tcpi_state != TCP_ESTABLISHED;
}

/* Reads until the answer is complete, the end of the connection or a time. */
static void
read_answer(struct kept_conn *k, struct httpmsg *m, usec_t deadline,
    struct kept_result *out)
{
	struct evbuffer *in = evbuffer_new();
	char bytes[4096];

	while (m->state != HTTPMSG_DONE && m->state != HTTPMSG_BAD &&
	    wait_input(k, deadline - clock_now())) {
		ssize_t n = recv(k->fd, bytes, sizeof(bytes), 0);

		if (n <= 0) {
			out->closed = true;
			break;
		}
		out->n_bytes += (size_t)n;
		evbuffer_add(in, bytes, (size_t)n);
		httpmsg_feed(m, in);
	}
	out->extra = m->state == HTTPMSG_BAD || evbuffer_get_length(in) > 0;
	evbuffer_free(in);
	if (m->state != HTTPMSG_HEAD && m->state != HTTPMSG_BAD)
		out->status = m->parser.status_code;
	if (out->closed && m->started)
		httpmsg_eof(m);
}

void
kept_exchange(struct kept_conn *k, struct str request, usec_t timeout,
    struct kept_result *out)
{
	struct httpmsg m;

	memset(out, 0, sizeof(*out));
	httpmsg_init(&m, HTTP_RESPONSE, HEAD_LIMIT);
	out->sent = clock_now();
	out->idle = out->sent - k->idle_since;
	out->crossed = send(k->fd, request.p, request.n, MSG_NOSIGNAL) !=
		(ssize_t)request.n ||
	    has_ended(k);
	read_answer(k, &m, out->sent + timeout, out);
	out->ended = clock_now();
	out->complete = m.state == HTTPMSG_DONE;
	buf_put(&out->body,
	    (struct str){ (const char *)evbuffer_pullup(m.body, -1),
		evbuffer_get_length(m.body) });
	if (!out->complete || out->closed || out->extra ||
	    !httpmsg_keep_alive(&m))
		kept_close(k);
	k->idle_since = out->ended;
	httpmsg_free(&m);
}

void
kept_result_free(struct kept_result *a)
{
	buf_free(&a->body);
}
