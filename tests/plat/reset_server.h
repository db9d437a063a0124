/*
 * A target of one connection that answers before it has read the whole call,
 * and then resets or closes the connection; its thread ends with that.
 */
#ifndef TESTS_PLAT_RESET_SERVER_H
#define TESTS_PLAT_RESET_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* More than the system keeps for a connection. */
#define UPLOAD_BYTES ((size_t)16 << 20)

enum ending {
	RESET_BEFORE, /* the last byte of the upload is read */
	RESET_AT,     /* as soon as it has been read */
	RESET_AFTER,  /* some time after */
	CLOSED_AFTER  /* in order */
};

struct answer_case {
	const char *name;
	const char *answer;
	enum ending ending;
	bool complete;
};

#define N_RESET_CASES 10
extern const struct answer_case reset_cases[N_RESET_CASES];

struct reset_server {
	const struct answer_case *c;
	int fd;
	char addr[32];
	size_t body_bytes;    /* of the call */
	gint client_has_part; /* set by the client */
	GThread *thread;
};

void reset_server_open(
    struct reset_server *s, const struct answer_case *c, size_t body_bytes);
void reset_server_close(struct reset_server *s);

#endif
