#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define FACILITY_DAEMON 3

static char log_program[32] = "sequoia";
static char log_host[128] = "-";
static enum log_level log_most = LOG_LVL_INFO;

/* Escapes what RFC 5424 wants escaped, and control characters. */
static void
put_value(struct buf *b, struct str v)
{
	for (size_t i = 0; i < v.n; i++) {
		char c = v.p[i];

		if (c == '"' || c == '\\' || c == ']')
			buf_putc(b, '\\');
		buf_putc(b, (unsigned char)c < ' ' ? ' ' : c);
	}
}

void
log_init(const char *program, const char *host, enum log_level most)
{
	snprintf(log_program, sizeof(log_program), "%s", program);
	snprintf(log_host, sizeof(log_host), "%s", host);
	log_most = most;
}

void
log_fields(
    enum log_level lvl, const char *event, const struct log_field *fields)
{
	struct buf b = { 0 };
	struct timespec ts;
	struct tm tm;
	char when[32];

	if (lvl > log_most)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	buf_printf(&b, "<%d>1 %s.%03ldZ %s %s %d %s -",
	    FACILITY_DAEMON * 8 + (int)lvl, when, ts.tv_nsec / 1000000,
	    log_host, log_program, (int)getpid(), event);
	for (; fields->key != NULL; fields++) {
		buf_printf(&b, " %s=\"", fields->key);
		put_value(&b, fields->value);
		buf_putc(&b, '"');
	}
	buf_putc(&b, '\n');
	if (write(STDERR_FILENO, b.p, b.n) < 0)
		log_most = LOG_LVL_ERR;
	buf_free(&b);
}

void
log_text(enum log_level lvl, const char *event, const char *fmt, ...)
{
	struct buf b = { 0 };
	va_list ap;

	va_start(ap, fmt);
	buf_vprintf(&b, fmt, ap);
	va_end(ap);
	LOG(lvl, event, { "detail", str_of(&b) });
	buf_free(&b);
}
