#include "plat/port_check.h"
#include "base/log.h"
#include "plat/addr.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct port_check {
	struct port_check_opts o;
	struct event *event;
	int fd;
	bool refused; /* known when the connection was started */
};

void
port_check_cancel(struct port_check *c)
{
	if (c->event != NULL)
		event_free(c->event);
	if (c->fd >= 0)
		close(c->fd);
	free(c);
}

static void
on_event(evutil_socket_t fd, short what, void *arg)
{
	struct port_check *c = arg;
	int error = 0;
	socklen_t n = sizeof(error);

	if ((what & EV_WRITE) && !c->refused)
		c->refused =
		    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) == 0 &&
		    error == ECONNREFUSED;
	c->o.done(c->o.arg, c->refused);
	port_check_cancel(c);
}

struct port_check *
port_check_start(const struct port_check_opts *o)
{
	struct timeval tv = { o->timeout / USEC_PER_SEC,
		o->timeout % USEC_PER_SEC };
	struct port_check *c;
	struct sockaddr_in sa;

	if (!addr_parse(o->addr, &sa))
		return NULL;
	c = xcalloc(1, sizeof(*c));
	c->o = *o;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0) {
		log_text(LOG_LVL_WARNING, "no-socket", "%s", strerror(errno));
		port_check_cancel(c);
		return NULL;
	}
	if (connect(c->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
		c->refused = errno == ECONNREFUSED;
		if (errno != EINPROGRESS && !c->refused) {
			port_check_cancel(c);
			return NULL;
		}
	}
	c->event = event_new(o->base, c->fd, EV_WRITE, on_event, c);
	event_add(c->event, &tv);
	if (c->refused)
		event_active(c->event, EV_WRITE, 0);
	return c;
}
