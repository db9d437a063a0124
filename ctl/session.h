/*
 * Access of one sequoiactl command to the key-value service: an event loop, a
 * client and the configuration log.  The functions block and run the loop while
 * they wait.  A session belongs to one thread.
 */
#ifndef CTL_SESSION_H
#define CTL_SESSION_H

#include "plat/conflog.h"

enum exit_code {
	EXIT_DONE = 0,
	EXIT_REFUSED = 1, /* the input or the current state forbids it */
	EXIT_USAGE = 2,
	EXIT_UNREACHABLE = 3 /* the store or a sequoiad did not respond */
};

struct session {
	struct http_loop *loop;
	struct kv *kv;
	struct conflog *log;
	/* The last append: append_done is set when completion is valid. */
	bool append_done;
	struct alog_completion completion;
	/* The last call for a body: kv_done is set when its result is valid. */
	bool kv_done;
	enum kv_status kv_status;
	bool found;
	struct buf value;
	struct err rejected; /* set if a record could not be applied */
};

struct session_opts {
	const char *kv; /* endpoints, IP:PORT, separated by blanks */
	/* As in struct conflog_opts. */
	void (*record)(void *arg, const json_t *payload);
	void *arg;
};

/*
 * Reads the log up to its head and the bodies of the files in force.  Returns
 * an exit code; sets e unless the code is EXIT_DONE.
 */
int session_open(
    struct session *s, const struct session_opts *o, struct err *e);
/* Runs the loop until *flag is set or the timeout expires; returns *flag. */
bool session_wait(struct session *s, const bool *flag, usec_t timeout);
/*
 * Runs the loop until the log and the files in force have been read; returns
 * false after 10 s.
 */
bool session_sync(struct session *s);
/* Writes the body of a file; false if all attempts failed. */
bool session_put_body(struct session *s, const struct conffile *x);
/* Appends the body with a hash to out; false if all attempts failed. */
bool session_get_body(struct session *s, const char *hash, struct buf *out);
void session_close(struct session *s);

#endif
