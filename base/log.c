#include "base/log.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Two seconds of lines of one event at LOG_EVENT_RATE. */
#define MAX_QUEUED_BYTES   ((size_t)128 * 1024)
/* The same for lines without a rate. */
#define MAX_EACH_BYTES     ((size_t)4 * 1024 * 1024)
/* The writer waits this long to collect lines for one write. */
#define BATCH_DELAY_USEC   50000
#define MAX_EVENTS         64 /* events beyond this number have no rate limit */
#define FINISH_TIMEOUT_SEC 1  /* bounds the wait for a slow or stuck reader */

struct event_rate {
	const char *event; /* compared by address: events are literals */
	time_t second;
	uint32_t lines;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t wakeup;
	pthread_t writer;
	bool running;
	bool stopping;
	struct buf queue; /* lines that the writer has not taken yet */
	uint64_t dropped;
	uint64_t reported; /* dropped lines already counted in a log line */
	struct event_rate rates[MAX_EVENTS];
	char host[128];
	enum log_level max_level;
} state = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.wakeup = PTHREAD_COND_INITIALIZER,
	.host = "-",
	.max_level = LOG_LVL_INFO,
};

static const char *
level_name(enum log_level lvl)
{
	switch (lvl) {
	case LOG_LVL_ERR:
		return "error";
	case LOG_LVL_WARNING:
		return "warning";
	case LOG_LVL_NOTICE:
		return "notice";
	case LOG_LVL_INFO:
		return "info";
	case LOG_LVL_DEBUG:
		break;
	}
	return "debug";
}

/* Escapes quotes and backslashes; replaces control characters by blanks. */
static void
put_value(struct buf *b, struct str v)
{
	for (size_t i = 0; i < v.n; i++) {
		char c = v.p[i];

		if (c == '"' || c == '\\')
			buf_putc(b, '\\');
		buf_putc(b, (unsigned char)c < ' ' ? ' ' : c);
	}
}

static void
put_prefix(struct buf *b, enum log_level lvl, const char *event)
{
	struct timespec ts;
	struct tm tm;
	char when[32];

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	buf_printf(b, "time=%s.%03ldZ level=%s host=%s event=%s", when,
	    ts.tv_nsec / 1000000, level_name(lvl), state.host, event);
}

/* Writes s to standard output; false on a write error. */
static bool
write_all(struct str s)
{
	while (s.n > 0) {
		ssize_t n = write(STDOUT_FILENO, s.p, s.n);

		if (n <= 0)
			return false;
		s.p += n;
		s.n -= (size_t)n;
	}
	return true;
}

/*
 * Takes the queued lines, followed by the number of lines dropped since the
 * last call.  The lock must be held.
 */
static struct buf
take_queue(void)
{
	struct buf out = state.queue;

	state.queue = (struct buf){ 0 };
	if (state.dropped > state.reported) {
		put_prefix(&out, LOG_LVL_WARNING, "log-lines-dropped");
		buf_printf(&out, " lines=\"%" PRIu64 "\"\n",
		    state.dropped - state.reported);
		state.reported = state.dropped;
	}
	return out;
}

static void *
run_writer(void *arg)
{
	struct buf out;

	(void)arg;
	pthread_mutex_lock(&state.lock);
	while (!state.stopping || state.queue.n > 0) {
		if (state.queue.n == 0) {
			pthread_cond_wait(&state.wakeup, &state.lock);
			continue;
		}
		if (!state.stopping) {
			pthread_mutex_unlock(&state.lock);
			usleep(BATCH_DELAY_USEC);
			pthread_mutex_lock(&state.lock);
		}
		out = take_queue();
		pthread_mutex_unlock(&state.lock);
		if (!write_all(str_of(&out)))
			state.max_level = LOG_LVL_ERR;
		buf_free(&out);
		pthread_mutex_lock(&state.lock);
	}
	pthread_mutex_unlock(&state.lock);
	return NULL;
}

void
log_init(const char *host, enum log_level max_level)
{
	snprintf(state.host, sizeof(state.host), "%s", host);
	state.max_level = max_level;
	state.stopping = false;
	state.running =
	    pthread_create(&state.writer, NULL, run_writer, NULL) == 0;
}

void
log_finish(void)
{
	struct timespec until;

	if (!state.running)
		return;
	pthread_mutex_lock(&state.lock);
	state.stopping = true;
	pthread_cond_signal(&state.wakeup);
	pthread_mutex_unlock(&state.lock);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += FINISH_TIMEOUT_SEC;
	if (pthread_timedjoin_np(state.writer, NULL, &until) == 0)
		state.running = false;
}

uint64_t
log_dropped(void)
{
	uint64_t n;

	pthread_mutex_lock(&state.lock);
	n = state.dropped;
	pthread_mutex_unlock(&state.lock);
	return n;
}

/*
 * Counts a line of the event; true if it exceeds the event's rate.  The lock
 * must be held.
 */
static bool
is_above_rate(const char *event)
{
	time_t now = time(NULL);
	struct event_rate *r = NULL;

	for (size_t i = 0; r == NULL && i < MAX_EVENTS; i++) {
		if (state.rates[i].event == event ||
		    state.rates[i].event == NULL)
			r = &state.rates[i];
	}
	if (r == NULL)
		return false;
	r->event = event;
	if (r->second != now) {
		r->second = now;
		r->lines = 0;
	}
	return ++r->lines > LOG_EVENT_RATE;
}

static void
put_line(enum log_level lvl, const char *event, struct str line, bool each)
{
	size_t max = each ? MAX_EACH_BYTES : MAX_QUEUED_BYTES;

	pthread_mutex_lock(&state.lock);
	if ((!each && lvl > LOG_LVL_ERR && is_above_rate(event)) ||
	    state.queue.n + line.n > max) {
		state.dropped++;
	} else {
		buf_put(&state.queue, line);
		pthread_cond_signal(&state.wakeup);
	}
	pthread_mutex_unlock(&state.lock);
}

static void
log_line(enum log_level lvl, const char *event, const struct log_field *fields,
    bool each)
{
	struct buf b = { 0 };

	if (lvl > state.max_level)
		return;
	put_prefix(&b, lvl, event);
	for (; fields->key != NULL; fields++) {
		buf_printf(&b, " %s=\"", fields->key);
		put_value(&b, fields->value);
		buf_putc(&b, '"');
	}
	buf_putc(&b, '\n');
	if (state.running)
		put_line(lvl, event, str_of(&b), each);
	else
		write_all(str_of(&b));
	buf_free(&b);
}

void
log_fields(
    enum log_level lvl, const char *event, const struct log_field *fields)
{
	log_line(lvl, event, fields, false);
}

void
log_each(enum log_level lvl, const char *event, const struct log_field *fields)
{
	log_line(lvl, event, fields, true);
}

void
log_text(enum log_level lvl, const char *event, const char *fmt, ...)
{
	struct buf b = { 0 };
	va_list ap;

	if (lvl > state.max_level)
		return;
	va_start(ap, fmt);
	buf_vprintf(&b, fmt, ap);
	va_end(ap);
	LOG(lvl, event, { "detail", str_of(&b) });
	buf_free(&b);
}
