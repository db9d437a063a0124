/*
 * The requests that workers of the callers' server have in hand, for what the
 * exit of the process breaks off.  May be used from any thread.
 */
#ifndef ENTRY_IN_PROGRESS_H
#define ENTRY_IN_PROGRESS_H

#include "entry/record.h"

#include <pthread.h>

enum progress_wait {
	PROGRESS_BODY,   /* for the rest of the request */
	PROGRESS_RESULT, /* for the request's end */
	PROGRESS_CALLER, /* for the caller to take the answer */
	PROGRESS_GONE    /* for a caller that has disconnected to return */
};

/* A request; lives on the stack of its worker. */
struct in_progress {
	enum progress_wait wait;
	char id[RECORD_ID_BYTES]; /* empty before the request has an id */
	usec_t began;
	struct in_progress *next;
};

struct in_progress_list {
	pthread_mutex_t lock;
	struct in_progress *first;
};

void in_progress_init(struct in_progress_list *l);
void in_progress_begin(struct in_progress_list *l, struct in_progress *p);
/* The request has got the id, which is copied, and waits for something else. */
void in_progress_set(struct in_progress_list *l, struct in_progress *p,
    const char *id, enum progress_wait wait);
void in_progress_end(struct in_progress_list *l, struct in_progress *p);
/* Logs each request whose caller has no complete answer; returns how many. */
unsigned in_progress_log_cut(struct in_progress_list *l, usec_t signal_at);
void in_progress_free(struct in_progress_list *l);

#endif
