#include "entry/exit_guard.h"
#include "base/log.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* The writer thread of the log gets this long for the last lines. */
#define LOG_TIME (100 * USEC_PER_MSEC)

/* Of the process, as the guard runs until the process is gone. */
static struct {
	pthread_mutex_t lock;
	char counts[EXIT_GUARD_COUNTS_BYTES]; /* empty: none */
	bool logged;
} state = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* The caller holds the lock. */
static void
log_counts(const char *note)
{
	char text[EXIT_GUARD_COUNTS_BYTES + 64];

	if (state.logged || *state.counts == '\0')
		return;
	state.logged = true;
	snprintf(text, sizeof(text), "%s%s", state.counts, note);
	LOG_EACH(LOG_LVL_NOTICE, "stop-counts", { "detail", str_from(text) });
}

static void *
run(void *arg)
{
	usec_t at = *(usec_t *)arg;
	usec_t now;

	free(arg);
	while ((now = clock_now()) < at)
		usleep((useconds_t)(at - now));
	pthread_mutex_lock(&state.lock);
	log_counts(", as last known before a forced exit");
	pthread_mutex_unlock(&state.lock);
	log_text(LOG_LVL_WARNING, "exit-forced",
	    "threads had not ended at the end of the stop");
	usleep((useconds_t)LOG_TIME);
	_exit(EXIT_SUCCESS);
}

void
exit_guard_start(usec_t at)
{
	usec_t *arg = xcalloc(1, sizeof(*arg));
	pthread_t thread;

	*arg = at;
	if (pthread_create(&thread, NULL, run, arg) == 0)
		pthread_detach(thread);
	else
		free(arg);
}

void
exit_guard_counts(const char *counts, bool final)
{
	pthread_mutex_lock(&state.lock);
	snprintf(state.counts, sizeof(state.counts), "%s", counts);
	if (final)
		log_counts("");
	pthread_mutex_unlock(&state.lock);
}
