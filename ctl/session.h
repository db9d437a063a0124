/*
 * A command's dealings with the key-value service: one loop, one client, and
 * the configuration log read up to now.
 */
#ifndef CTL_SESSION_H
#define CTL_SESSION_H

#include "plat/conflog.h"

enum exit_code {
	EXIT_DONE = 0,
	EXIT_REFUSED = 1, /* the input or the present state speaks against it */
	EXIT_USAGE = 2,
	EXIT_UNREACHABLE = 3 /* the platform or a sequoiad did not answer */
};

struct session {
	struct http_loop *loop;
	struct kv *kv;
	struct conflog *log;
	/* Of the last append. */
	bool append_done;
	struct alog_completion completion;
	/* Of the last plain call. */
	bool kv_done;
	enum kv_status kv_status;
	bool found;
	struct buf value;
	struct err rejected; /* a record that could not be folded */
};

struct session_opts {
	const char *kv; /* endpoints, IP:PORT, separated by blanks */
	/* Every record since the first one kept; NULL: only the state. */
	void (*record)(void *arg, const json_t *payload);
	void *arg;
};

/* Opens and reads the log; an exit code, and e unless it is EXIT_DONE. */
int session_open(
    struct session *s, const struct session_opts *o, struct err *e);
/* Runs until *flag or the time is up; returns *flag. */
bool session_wait(struct session *s, const bool *flag, usec_t most);
/* Runs until all that is in force has been read; false if that takes long. */
bool session_sync(struct session *s);
/* Writes the body of a file; false when the service did not confirm. */
bool session_put_body(struct session *s, const struct conffile *x);
/* Reads the body with this hash; false when it can't be had. */
bool session_get_body(struct session *s, const char *hash, struct buf *out);
void session_close(struct session *s);

#endif
