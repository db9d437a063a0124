#include "review/standin/record.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *out;
static int64_t start;

static int64_t
clock_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * MSEC_PER_SEC + t.tv_nsec / 1000000;
}

void
record_open(const char *path)
{
	start = clock_ms();
	out = fopen(path, "w");
	if (out == NULL) {
		perror(path);
		exit(2);
	}
}

int64_t
record_now(void)
{
	return clock_ms() - start;
}

void
record(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	pthread_mutex_lock(&lock);
	fprintf(out, "%7" PRId64 " ", record_now());
	vfprintf(out, fmt, args);
	fputc('\n', out);
	pthread_mutex_unlock(&lock);
	va_end(args);
}

void
record_close(void)
{
	pthread_mutex_lock(&lock);
	fclose(out);
	out = NULL;
	pthread_mutex_unlock(&lock);
}

void
sleep_ms(int64_t ms)
{
	struct timespec t = { ms / MSEC_PER_SEC,
		(long)(ms % MSEC_PER_SEC) * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}
