#include "plat/unread.h"

#include <event2/buffer.h>
#include <sys/ioctl.h>

size_t
unread_bytes(struct bufferevent *bev)
{
	int n = 0;

	if (ioctl(bufferevent_getfd(bev), FIONREAD, &n) < 0)
		n = 0;
	return evbuffer_get_length(bufferevent_get_input(bev)) + (size_t)n;
}
