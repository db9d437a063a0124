/*
 * The record of a case: a line for each thing that was sent, answered or run,
 * with the milliseconds since the start of the case.  Thread-safe.
 */
#ifndef REVIEW_STANDIN_RECORD_H
#define REVIEW_STANDIN_RECORD_H

#include <stdint.h>

#define MSEC_PER_SEC 1000

/* Opens the file that lines are written to. */
void record_open(const char *path);
__attribute__((format(printf, 1, 2))) void record(const char *fmt, ...);
void record_close(void);
/* Milliseconds since record_open(). */
int64_t record_now(void);
void sleep_ms(int64_t ms);

#endif
