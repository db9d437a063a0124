/* Commands that ask or tell sequoiads something. */
#ifndef CTL_ASK_H
#define CTL_ASK_H

#include <stdbool.h>
#include <stddef.h>

struct ask_opts {
	const char *const *args; /* after the command's name */
	size_t n;
	const char *sequoiad; /* operators' address if no argument names one */
	const char *to;       /* callers' address */
	const char *token;
	const char *key; /* idempotency key, "new" for one made now, or NULL */
	const char *attempt;    /* or NULL */
	const char *timeout_ms; /* or NULL */
	bool stream;
	bool json;
};

/* All return an exit code and have said on standard error what is wrong. */
int ask_status(const struct ask_opts *o);
/* call PIPELINE [BODY]; without BODY it is read from standard input. */
int ask_call(const struct ask_opts *o);
/* drain IP:PORT */
int ask_drain(const struct ask_opts *o);

#endif
