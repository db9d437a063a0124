#include "entry/in_progress.h"
#include "base/log.h"

#include <inttypes.h>
#include <stdio.h>

void
in_progress_init(struct in_progress_list *l)
{
	pthread_mutex_init(&l->lock, NULL);
	l->first = NULL;
}

void
in_progress_begin(struct in_progress_list *l, struct in_progress *p)
{
	*p =
	    (struct in_progress){ .wait = PROGRESS_BODY, .began = clock_now() };
	pthread_mutex_lock(&l->lock);
	p->next = l->first;
	l->first = p;
	pthread_mutex_unlock(&l->lock);
}

void
in_progress_set(struct in_progress_list *l, struct in_progress *p,
    const char *id, enum progress_wait wait)
{
	pthread_mutex_lock(&l->lock);
	snprintf(p->id, sizeof(p->id), "%s", id);
	p->wait = wait;
	pthread_mutex_unlock(&l->lock);
}

void
in_progress_end(struct in_progress_list *l, struct in_progress *p)
{
	struct in_progress **at = &l->first;

	pthread_mutex_lock(&l->lock);
	while (*at != p)
		at = &(*at)->next;
	*at = p->next;
	pthread_mutex_unlock(&l->lock);
}

static void
log_cut(const struct in_progress *p, usec_t signal_at)
{
	static const char *const causes[] = {
		[PROGRESS_BODY] = "its body had not arrived when the host "
				  "exited",
		[PROGRESS_RESULT] = "it had not ended when the host exited",
		[PROGRESS_CALLER] = "its caller had not taken the answer when "
				    "the host exited",
	};
	char arrived[32];
	char took[32];

	snprintf(arrived, sizeof(arrived), "%" PRId64,
	    (p->began - signal_at) / USEC_PER_MSEC);
	snprintf(took, sizeof(took), "%" PRId64,
	    (clock_now() - p->began) / USEC_PER_MSEC);
	LOG_EACH(LOG_LVL_NOTICE, "request-cut", { "request", str_from(p->id) },
	    { "cause", str_from(causes[p->wait]) },
	    { "after_signal_ms", str_from(arrived) },
	    { "took_ms", str_from(took) });
}

unsigned
in_progress_log_cut(struct in_progress_list *l, usec_t signal_at)
{
	unsigned n = 0;

	pthread_mutex_lock(&l->lock);
	for (const struct in_progress *p = l->first; p != NULL; p = p->next) {
		if (p->wait == PROGRESS_GONE)
			continue;
		log_cut(p, signal_at);
		n++;
	}
	pthread_mutex_unlock(&l->lock);
	return n;
}

void
in_progress_free(struct in_progress_list *l)
{
	pthread_mutex_destroy(&l->lock);
}
