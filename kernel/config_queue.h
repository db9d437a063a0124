/*
 * Configurations that wait to be applied.
 *
 * Load pattern: versions arrive in quick succession, and a small host takes a
 * tenth of a second to parse a large one.  So only the newest is parsed; if it
 * can't be used, the one before it is still there.
 */
#ifndef KERNEL_CONFIG_QUEUE_H
#define KERNEL_CONFIG_QUEUE_H

#include "base/str.h"

/* Bounds the memory for texts of up to some megabytes. */
#define CONFIG_QUEUE_MAX 4

struct queued_config {
	struct buf text;
	const char *source; /* a constant */
};

/* The oldest is first; a zeroed queue is empty. */
struct config_queue {
	struct queued_config v[CONFIG_QUEUE_MAX];
	size_t n;
};

/* Adds a copy of the text; the oldest goes if there are too many. */
void config_queue_put(
    struct config_queue *q, struct str text, const char *source);
/* The newest, or NULL. */
const struct queued_config *config_queue_newest(const struct config_queue *q);
/* Removes the newest one; the caller frees its text.  False if there is none.
 */
bool config_queue_take(struct config_queue *q, struct queued_config *out);
void config_queue_clear(struct config_queue *q);

#endif
