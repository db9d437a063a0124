/* Input that has arrived on a connection and has not been handled. */
#ifndef PLAT_UNREAD_H
#define PLAT_UNREAD_H

#include <event2/bufferevent.h>
#include <stddef.h>

/* Returns the bytes in the buffer for input and in the socket. */
size_t unread_bytes(struct bufferevent *bev);
/* Returns the bytes in the socket. */
size_t unread_of_socket(evutil_socket_t fd);
/*
 * Reads up to max more bytes that have arrived into the buffer for input.  A
 * bufferevent reads 4 KB in each turn of the loop, which costs far more time
 * than the bytes of a large message.
 */
void unread_take(struct bufferevent *bev, size_t max);

#endif
