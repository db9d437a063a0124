/*
 * Typed errors.  Functions that can fail return 0 or a negative error number
 * (enum err_kind); functions with a struct err parameter also set a text that
 * says what happened and how to correct it.  All functions may be called from
 * any thread.
 */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include "base/str.h"

enum err_kind {
	ERR_OK = 0,
	ERR_BAD_JSON = -1,
	ERR_TOO_LARGE = -2,
	ERR_NO_PIPELINE = -3,
	ERR_BAD_TOKEN = -4,
	ERR_KEY_MISSING = -5,
	ERR_KEY_BAD = -6,
	ERR_KEY_REUSED = -7,
	ERR_KEY_OLD = -8,
	ERR_BAD_HEADER = -9,
	ERR_SLOW_BODY = -10,
	ERR_NOT_FOUND = -11,
	ERR_NO_TIME = -12,
	ERR_OVER_LIMIT = -13,
	ERR_NO_TARGET = -14,
	ERR_TARGET_FAILED = -15,
	ERR_DEADLINE = -16,
	ERR_CLAIM_TAKEN = -17,
	ERR_CLAIM_STORE = -18,
	ERR_ANSWER_LOST = -19,
	ERR_DRAINING = -20,
	ERR_SUNSET = -21,
	ERR_CANCELLED = -22,
	ERR_CONFIG = -23,
	ERR_SETTING = -24,
	ERR_KV = -25,
	ERR_CONFLICT = -26,
	ERR_PEER = -27,
	ERR_NOT_READY = -28,
	ERR_METHOD = -29,
	ERR_IO = -30,
	ERR_QUARANTINED = -31,
	ERR_MEMORY = -32,
	ERR_LAST = -33
};

/* How a request ended, as reported to its caller. */
enum outcome {
	OUTCOME_COMPLETE,
	OUTCOME_NOT_RUN,
	OUTCOME_FAILED,
	OUTCOME_UNKNOWN
};

struct err {
	enum err_kind kind;
	char text[512];
};

/* Sets e, unless it is NULL, and returns kind for the caller to return. */
int err_set(struct err *e, enum err_kind kind, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Returns the stable name in problem+json and metrics, such as "bad-json". */
const char *err_name(enum err_kind kind);
/* Returns one sentence that tells the reader how to correct the error. */
const char *err_remedy(enum err_kind kind);
/* Returns the HTTP status of the response to the caller. */
int err_status(enum err_kind kind);

/* Returns "complete", "not-run", "failed" or "unknown". */
const char *outcome_name(enum outcome o);

#endif
