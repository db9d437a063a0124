/* Blocking HTTP/1.1 over sockets, as far as the stand-ins need it. */
#ifndef REVIEW_STANDIN_WIRE_H
#define REVIEW_STANDIN_WIRE_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* An address "IP:PORT". */
#define ADDR_BYTES 32

/* Bytes that were read from a connection and not used yet. */
struct wire {
	int fd;
	GString *in;
};

struct message {
	char *first; /* request line or status line */
	char *head;  /* all of the header section */
	GString *body;
	int64_t head_at; /* when the header section had arrived */
	bool complete;   /* by its framing */
	bool closes;     /* by its Connection field */
};

/* Returns a listening socket at a port of the IP, 0: any free one. */
int wire_listen(const char *ip, uint16_t *port);
/* Returns a connected socket, or -1. */
int wire_connect(const char *addr);
void wire_init(struct wire *w, int fd);
/* Closes the socket; with reset, the peer gets a reset. */
void wire_close(struct wire *w, bool reset);
/*
 * Reads a message until its end, the end of the connection or the time.
 * Returns false if not even the header section has arrived.
 */
bool wire_read(struct wire *w, int64_t until, struct message *out);
void message_free(struct message *m);
/* Returns the value of a header field, to be freed, or NULL. */
char *message_field(const struct message *m, const char *name);
bool wire_write(struct wire *w, const char *bytes, size_t n);
/* Whether the peer has closed or reset the connection. */
bool wire_closed(const struct wire *w);

/* Waits until there is something to read, at most for a time. */
void wire_wait(const struct wire *w, int64_t ms);

#endif
