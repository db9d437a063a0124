#include "review/standin/wire.h"
#include "review/standin/record.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG    1024
#define READ_BYTES 16384

static struct sockaddr_in
address(const char *ip, uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons(port) };

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

int
wire_listen(const char *ip, uint16_t *port)
{
	struct sockaddr_in a = address(ip, *port);
	socklen_t n = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, BACKLOG) != 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&a, &n);
	*port = ntohs(a.sin_port);
	return fd;
}

int
wire_connect(const char *addr)
{
	char ip[ADDR_BYTES];
	char *colon;
	struct sockaddr_in a;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	g_strlcpy(ip, addr, sizeof(ip));
	colon = strchr(ip, ':');
	if (colon == NULL) {
		close(fd);
		return -1;
	}
	*colon = '\0';
	a = address(ip, (uint16_t)strtoul(colon + 1, NULL, 10));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

void
wire_init(struct wire *w, int fd)
{
	w->fd = fd;
	w->in = g_string_new(NULL);
}

void
wire_close(struct wire *w, bool reset)
{
	struct linger l = { 1, 0 };

	if (reset)
		setsockopt(w->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(w->fd);
	w->fd = -1;
	g_string_free(w->in, TRUE);
	w->in = NULL;
}

/* Reads more bytes; false at the end of the connection or of the time. */
static bool
fill(struct wire *w, int64_t until)
{
	char bytes[READ_BYTES];
	struct pollfd p = { .fd = w->fd, .events = POLLIN };
	int64_t left = until - record_now();
	ssize_t n;

	if (left <= 0 || poll(&p, 1, (int)left) != 1)
		return false;
	n = recv(w->fd, bytes, sizeof(bytes), 0);
	if (n <= 0)
		return false;
	g_string_append_len(w->in, bytes, n);
	return true;
}

static bool
fill_to(struct wire *w, size_t n, int64_t until)
{
	while (w->in->len < n) {
		if (!fill(w, until))
			return false;
	}
	return true;
}

/* Returns the length of the line that begins at an offset, with its end. */
static size_t
line_length(struct wire *w, size_t at, int64_t until)
{
	for (;;) {
		const char *end = w->in->len > at
		    ? memchr(w->in->str + at, '\n', w->in->len - at)
		    : NULL;

		if (end != NULL)
			return (size_t)(end - w->in->str) + 1 - at;
		if (!fill(w, until))
			return 0;
	}
}

static bool
read_chunks(struct wire *w, int64_t until, GString *body)
{
	for (;;) {
		size_t line = line_length(w, 0, until);
		size_t n;

		if (line == 0)
			return false;
		n = strtoul(w->in->str, NULL, 16);
		g_string_erase(w->in, 0, (gssize)line);
		if (!fill_to(w, n + 2, until)) {
			g_string_append_len(body, w->in->str,
			    (gssize)(w->in->len < n ? w->in->len : n));
			return false;
		}
		g_string_append_len(body, w->in->str, (gssize)n);
		g_string_erase(w->in, 0, (gssize)n + 2);
		if (n == 0)
			return true;
	}
}

char *
message_field(const struct message *m, const char *name)
{
	const char *line = m->head;
	size_t n = strlen(name);

	while (line != NULL && *line != '\0') {
		const char *end = strchr(line, '\n');

		if (g_ascii_strncasecmp(line, name, n) == 0 && line[n] == ':')
			return g_strstrip(g_strndup(line + n + 1,
			    end != NULL ? (gsize)(end - line) - n - 1
					: strlen(line + n + 1)));
		line = end != NULL ? end + 1 : NULL;
	}
	return NULL;
}

static bool
read_body(struct wire *w, int64_t until, struct message *m)
{
	g_autofree char *length = message_field(m, "Content-Length");
	g_autofree char *coding = message_field(m, "Transfer-Encoding");
	size_t n = length != NULL ? strtoul(length, NULL, 10) : 0;
	bool whole;

	if (coding != NULL)
		return read_chunks(w, until, m->body);
	whole = fill_to(w, n, until);
	n = w->in->len < n ? w->in->len : n;
	g_string_append_len(m->body, w->in->str, (gssize)n);
	g_string_erase(w->in, 0, (gssize)n);
	return whole;
}

bool
wire_read(struct wire *w, int64_t until, struct message *out)
{
	g_autofree char *connection = NULL;
	size_t at = 0;
	size_t n;

	*out = (struct message){ 0 };
	do {
		n = line_length(w, at, until);
		if (n == 0)
			return false;
		at += n;
	} while (n > 2);
	out->head = g_strndup(w->in->str, at);
	out->head_at = record_now();
	out->first = g_strndup(out->head, strcspn(out->head, "\r\n"));
	out->body = g_string_new(NULL);
	g_string_erase(w->in, 0, (gssize)at);
	connection = message_field(out, "Connection");
	out->closes =
	    connection != NULL && g_ascii_strcasecmp(connection, "close") == 0;
	out->complete = read_body(w, until, out);
	return true;
}

void
message_free(struct message *m)
{
	g_free(m->first);
	g_free(m->head);
	if (m->body != NULL)
		g_string_free(m->body, TRUE);
	*m = (struct message){ 0 };
}

bool
wire_write(struct wire *w, const char *bytes, size_t n)
{
	while (n > 0) {
		ssize_t done = send(w->fd, bytes, n, MSG_NOSIGNAL);

		if (done < 0 && errno == EINTR)
			continue;
		if (done <= 0)
			return false;
		bytes += done;
		n -= (size_t)done;
	}
	return true;
}

bool
wire_closed(const struct wire *w)
{
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
wire_wait(const struct wire *w, int64_t ms)
{
	struct pollfd p = { .fd = w->fd, .events = POLLIN };

	poll(&p, 1, (int)ms);
}
