/*
 * Whether the head of a target's answer shows already that what follows is no
 * answer, so that the call ends at once.
 */
#ifndef KERNEL_ANSWER_HEAD_H
#define KERNEL_ANSWER_HEAD_H

#include "base/str.h"

struct answer_head {
	bool is_stream;          /* its body has to be a stream of events */
	bool has_length;         /* of its body, as declared */
	uint64_t length;         /* in bytes */
	struct str content_type; /* p is NULL: none */
};

/* Returns why it is no answer, or NULL. */
const char *answer_head_fault(const struct answer_head *h);

#endif
