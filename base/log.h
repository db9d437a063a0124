/*
 * Structured log lines on standard output:
 *   time=T level=L host=H event=E key="value" ...
 * The event is a fixed word; everything that varies is a field.
 *
 * Lines go through a bounded ring to one writer thread, so that no caller
 * waits for whoever reads them.  A line that finds the ring full, or that is
 * above its event's rate, is dropped and counted; the count is logged.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include "base/str.h"

/* Lines of one event and second; errors are never sampled. */
#define LOG_EVENT_RATE 200

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

/* Names the host in every later line, and starts the writer. */
void log_init(const char *host, enum log_level most);
/* Writes out what is in the ring and ends the writer. */
void log_finish(void);
/* Lines that were dropped since the start. */
uint64_t log_dropped(void);

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
