/*
 * Structured log lines on standard error, in the form of syslog (RFC 5424):
 *   <PRI>1 TIME HOST sequoiad PID EVENT - key="value" ...
 * The event is a fixed word; everything that varies is a field.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include "base/str.h"

enum log_level {
	LOG_LVL_ERR = 3,
	LOG_LVL_WARNING = 4,
	LOG_LVL_NOTICE = 5,
	LOG_LVL_INFO = 6,
	LOG_LVL_DEBUG = 7
};

struct log_field {
	const char *key;
	struct str value;
};

/* Names the program and the host in every later line. */
void log_init(const char *program, const char *host, enum log_level most);

/* Writes one line; fields end at the first with a NULL key. */
void log_fields(
    enum log_level lvl, const char *event, const struct log_field *fields);

/* Writes one line with the single field detail="...". */
void log_text(enum log_level lvl, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define LOG(lvl, event, ...)       \
	log_fields((lvl), (event), \
	    (const struct log_field[]){ __VA_ARGS__, { NULL } })

#endif
