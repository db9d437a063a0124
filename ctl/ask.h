/* The sequoiactl commands that talk to sequoiads: status, call and drain. */
#ifndef CTL_ASK_H
#define CTL_ASK_H

#include <stdbool.h>
#include <stddef.h>

struct ask_opts {
	const char *const *args; /* arguments after the command's name */
	size_t n;
	/* Operators' address, IP:PORT, for status without arguments. */
	const char *sequoiad;
	/* Callers' address, IP:PORT, for call. */
	const char *to;
	const char *token;
	/* Idempotency key, "new" to generate one, or NULL. */
	const char *key;
	const char *attempt;    /* Sequoia-Attempt header, or NULL */
	const char *timeout_ms; /* Sequoia-Timeout-Ms header, or NULL */
	bool stream;
	bool json;
};

/*
 * All commands return an exit code (enum exit_code) and print errors on
 * standard error.
 */

/* status [IP:PORT ...]: prints the status of each sequoiad. */
int ask_status(const struct ask_opts *o);
/* call PIPELINE [BODY]: sends a request; BODY defaults to standard input. */
int ask_call(const struct ask_opts *o);
/* drain IP:PORT: starts the drain of a sequoiad and does not wait for it. */
int ask_drain(const struct ask_opts *o);

#endif
