/*
 * Structured log lines on standard output:
 *   time=T level=L host=H event=E key="value" ...
 * The event is a fixed word; everything that varies is a field.
 *
 * Lines pass through a bounded queue to a writer thread, so that a slow reader
 * of standard output never blocks the caller.  Lines are dropped and counted
 * when the queue is full or their event is above its rate; the count is
 * logged.  Lines of LOG_EACH, one for each of some requests, have no rate and a
 * larger queue.  After log_init() all functions may be called from any thread.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include "base/str.h"

/* Maximum lines per second of one event; errors are not limited. */
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

/*
 * Starts the writer thread.  Later lines carry the host's name; lines above
 * max_level are discarded.  Before this call, lines are written synchronously.
 */
void log_init(const char *host, enum log_level max_level);
/* Writes the queued lines and stops the writer thread; waits at most 1 s. */
void log_finish(void);
/* Number of lines dropped since the start of the process. */
uint64_t log_dropped(void);

/* Logs one line; a field with a NULL key ends the list. */
void log_fields(
    enum log_level lvl, const char *event, const struct log_field *fields);

/* The same without a rate, for an event whose number is bounded. */
void log_each(
    enum log_level lvl, const char *event, const struct log_field *fields);

/* Logs one line with the single field detail="...". */
void log_text(enum log_level lvl, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define LOG(lvl, event, ...)       \
	log_fields((lvl), (event), \
	    (const struct log_field[]){ __VA_ARGS__, { NULL } })

#define LOG_EACH(lvl, event, ...) \
	log_each((lvl), (event),  \
	    (const struct log_field[]){ __VA_ARGS__, { NULL } })

#endif
