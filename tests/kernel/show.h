/*
 * Text form of the kernel's actions, for golden files.
 *
 * In this text "piece" is a text chunk of a streamed answer, "left" a target
 * that is leaving, "fresh" a call on a new connection and "once" a call that
 * must not be resent.
 */
#ifndef TESTS_SHOW_H
#define TESTS_SHOW_H

#include "kernel/event.h"

#include <glib.h>

/* The name of the request with handle req. */
const char *show_name(const GPtrArray *names, uint64_t req);
/* Appends an action as text; names holds the requests' names by handle - 1. */
void show_action(
    const struct action *a, const GPtrArray *names, struct buf *out);

#endif
