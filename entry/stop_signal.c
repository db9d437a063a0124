#include "entry/stop_signal.h"
#include "base/str.h"
#include "kernel/stopping.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

struct stop_signal {
	sigset_t signals;
	pthread_mutex_t lock;
	struct stopping_watch watch;
};

struct stop_signal *
stop_signal_new(const sigset_t *signals)
{
	struct stop_signal *s = xcalloc(1, sizeof(*s));

	s->signals = *signals;
	pthread_mutex_init(&s->lock, NULL);
	s->watch.clear_at = clock_now();
	return s;
}

/* Takes the signal if it is pending. */
static bool
take(const struct stop_signal *s)
{
	static const struct timespec now = { 0, 0 };

	return sigtimedwait(&s->signals, NULL, &now) > 0;
}

usec_t
stop_signal_look(struct stop_signal *s)
{
	usec_t at, began;

	/* No thread may look between the taking of the signal and its note. */
	pthread_mutex_lock(&s->lock);
	/* Before the look: the process may stand still after it. */
	began = clock_now();
	at = s->watch.signal_at;
	if (at == 0)
		at = stopping_look(&s->watch, take(s), began);
	pthread_mutex_unlock(&s->lock);
	return at;
}

usec_t
stop_signal_wait(struct stop_signal *s, usec_t limit)
{
	usec_t at = stop_signal_look(s);

	if (at != 0)
		return at;
	usleep((useconds_t)limit);
	return stop_signal_look(s);
}

void
stop_signal_free(struct stop_signal *s)
{
	pthread_mutex_destroy(&s->lock);
	free(s);
}
