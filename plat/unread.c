#include "plat/unread.h"

#include <event2/buffer.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

size_t
unread_of_socket(evutil_socket_t fd)
{
	int n = 0;

	if (ioctl(fd, FIONREAD, &n) < 0)
		n = 0;
	return (size_t)n;
}

size_t
unread_bytes(struct bufferevent *bev)
{
	return evbuffer_get_length(bufferevent_get_input(bev)) +
	    unread_of_socket(bufferevent_getfd(bev));
}

void
unread_take(struct bufferevent *bev, size_t max)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t here = unread_of_socket(bufferevent_getfd(bev));
	size_t size = here < max ? here : max;
	struct evbuffer_iovec v;
	ssize_t n = 0;

	if (size == 0)
		return;
	/* Otherwise only the bufferevent may add to it. */
	evbuffer_unfreeze(in, 0);
	if (evbuffer_reserve_space(in, (ev_ssize_t)size, &v, 1) == 1)
		n = recv(
		    bufferevent_getfd(bev), v.iov_base, size, MSG_DONTWAIT);
	if (n > 0) {
		v.iov_len = (size_t)n;
		evbuffer_commit_space(in, &v, 1);
	}
	evbuffer_freeze(in, 0);
}
