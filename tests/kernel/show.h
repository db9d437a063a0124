/* Actions of the kernel as text, for golden files. */
#ifndef TESTS_SHOW_H
#define TESTS_SHOW_H

#include "kernel/event.h"

#include <glib.h>

/* The name of a request. */
const char *show_name(const GPtrArray *names, uint64_t req);
/* Appends an action; names holds those of requests, by handle less 1. */
void show_action(
    const struct action *a, const GPtrArray *names, struct buf *out);

#endif
