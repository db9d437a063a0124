/* What the stage kinds share in reading answers and writing calls. */
#ifndef KERNEL_ANSWER_H
#define KERNEL_ANSWER_H

#include "kernel/plugin.h"

/* Writes the object compactly with sorted keys and releases it. */
void answer_dump(json_t *o, struct buf *out);
/* The prompt of a stage: the named keys of the document, a line each. */
void answer_prompt(
    const struct conf_stage *s, const json_t *document, struct buf *out);
/* What keeps prompt prefixes of workspaces apart, unless both name a salt. */
void answer_salt(const struct conf_workspace *w, struct buf *out);
/* What an error status means; notes in a whether the target is leaving. */
enum parse_state answer_status(struct stage_answer *a, int status);
/* Reads a whole JSON answer; *out is owned by the caller if PARSE_DONE. */
enum parse_state answer_object(const struct stage_call *c,
    struct stage_answer *a, int status, json_t **out);
void answer_free(struct stage_answer *a);

#endif
