/*
 * Jobs of other hosts for a stage service that this host's configuration lacks.
 *
 * Load pattern: a configuration brings a new stage service, and some hosts have
 * it sooner than others.  Requests of its routes reach a coordinator that
 * doesn't know the service yet; a refusal would be passed on to their callers.
 * So the coordinator lets the sender try again for a moment.  A service that it
 * knew and that was removed is refused at once, and so is one that stays
 * unknown.
 *
 * Runs on one thread.  Times are in microseconds.
 */
#ifndef KERNEL_UNKNOWN_SERVICES_H
#define KERNEL_UNKNOWN_SERVICES_H

#include "kernel/routes.h"

struct unknown_services {
	GHashTable *asked;   /* name -> usec_t of the first job */
	GHashTable *removed; /* names in earlier configurations */
};

enum unknown_answer {
	UNKNOWN_NONE,  /* the sender tries again after a moment */
	UNKNOWN_LATER, /* it is told that it will be answered */
	UNKNOWN_REFUSE
};

void unknown_services_init(struct unknown_services *u);
/* The configuration has changed; before may be NULL. */
void unknown_services_changed(struct unknown_services *u,
    const struct routes *before, const struct routes *after);
/* How a job for a service is answered that the configuration lacks. */
enum unknown_answer unknown_services_asked(
    struct unknown_services *u, const char *service, usec_t now);
void unknown_services_free(struct unknown_services *u);

#endif
