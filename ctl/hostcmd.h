/*
 * The sequoiactl commands that talk to sequoiads: status, call, explain
 * and drain.
 */
#ifndef CTL_HOSTCMD_H
#define CTL_HOSTCMD_H

#include <stdbool.h>
#include <stddef.h>

#define HOSTCMD_MAX_FIELDS 64

struct hostcmd_opts {
	const char *const *args; /* arguments after the command's name */
	size_t n;                /* number of args */
	/* Operators' address, IP:PORT, for status without arguments. */
	const char *operators_addr;
	/* Callers' address, IP:PORT, for call. */
	const char *callers_addr;
	const char *token; /* the workspace's token, for call; or NULL */
	/* Idempotency key, "new" to generate one, or NULL. */
	const char *key;
	const char *attempt;    /* Sequoia-Attempt header, or NULL */
	const char *timeout_ms; /* Sequoia-Timeout-Ms header, or NULL */
	bool stream;            /* call: request a streamed answer */
	bool json;              /* status, explain: print JSON */
	/* explain: the file with the request's head, "-": input; or NULL. */
	const char *file;
	const char *host; /* explain: the caller's Host; or NULL */
	/* explain: header lines "Name: value". */
	const char *fields[HOSTCMD_MAX_FIELDS];
	size_t n_fields;
};

/*
 * All commands return an exit code (enum exit_code) and print errors on
 * standard error.
 */

/* status [IP:PORT ...]: prints the status of each sequoiad. */
int hostcmd_status(const struct hostcmd_opts *o);
/* call PIPELINE [BODY]: sends a request; BODY defaults to standard input. */
int hostcmd_call(const struct hostcmd_opts *o);
/*
 * explain IP:PORT [PATH]: prints what would become of a request at a sequoiad.
 * Returns EXIT_REFUSED if it would be rejected (explain.c).
 */
int hostcmd_explain(const struct hostcmd_opts *o);
/* drain IP:PORT: starts to drain a sequoiad without waiting for the end. */
int hostcmd_drain(const struct hostcmd_opts *o);

#endif
