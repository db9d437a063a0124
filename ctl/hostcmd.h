/* Commands that ask or tell sequoiads something. */
#ifndef CTL_HOSTCMD_H
#define CTL_HOSTCMD_H

#include <stdbool.h>
#include <stddef.h>

struct hostcmd_opts {
	const char *const *args; /* after the command's name */
	size_t n;
	const char *operators_addr; /* operators' address if no argument names one */
	const char *callers_addr;       /* callers' address */
	const char *token;
	const char *key; /* idempotency key, "new" for one made now, or NULL */
	const char *attempt;    /* or NULL */
	const char *timeout_ms; /* or NULL */
	bool stream;
	bool json;
};

/* All return an exit code and have said on standard error what is wrong. */
int hostcmd_status(const struct hostcmd_opts *o);
/* call PIPELINE [BODY]; without BODY it is read from standard input. */
int hostcmd_call(const struct hostcmd_opts *o);
/* drain IP:PORT */
int hostcmd_drain(const struct hostcmd_opts *o);

#endif
