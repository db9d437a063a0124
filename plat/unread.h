/* Input that has arrived on a connection and has not been handled. */
#ifndef PLAT_UNREAD_H
#define PLAT_UNREAD_H

#include <event2/bufferevent.h>
#include <stddef.h>

/* Returns the bytes in the buffer for input and in the socket. */
size_t unread_bytes(struct bufferevent *bev);

#endif
