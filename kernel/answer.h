/*
 * Functions that stage kinds share for writing call bodies and parsing answers.
 */
#ifndef KERNEL_ANSWER_H
#define KERNEL_ANSWER_H

#include "kernel/plugin.h"

/* Writes the object compactly with sorted keys and drops its reference. */
void answer_dump(json_t *o, struct buf *out);
/*
 * Writes the prompt of a stage: the named keys of the document, one per line.
 */
void answer_prompt(
    const struct conf_stage *s, const json_t *document, struct buf *out);
/*
 * Writes the salt of the workspace's prompt cache.  Workspaces don't share
 * cached prompt prefixes unless they are configured with the same salt.
 */
void answer_salt(const struct conf_workspace *w, struct buf *out);
/* Returns a whole number, cut at INT_MAX; -1 if it is none, or negative. */
int answer_count(const json_t *v);
/*
 * Classifies an answer with an error status: PARSE_REFUSED if the target did
 * not take the call, else PARSE_BAD.  Sets a->leaving and a->not_ready.
 */
enum parse_state answer_status(struct stage_answer *a, int status);
/* Parses a complete JSON answer.  With PARSE_DONE the caller owns *out. */
enum parse_state answer_object(const struct stage_call *c,
    struct stage_answer *a, int status, json_t **out);
void answer_free(struct stage_answer *a);

#endif
