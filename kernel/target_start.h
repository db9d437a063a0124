/*
 * Which start of a target is at the other end of a connection.
 *
 * Load pattern: the targets of a service are replaced by those of another
 * version, and some restart under their ids and addresses, perhaps the first of
 * that version.  Their entries arrive about a second later, and callers whose
 * streams the restarts broke come back before that.  A stream that began at the
 * old version would go on at the new one, and streams that begin there would be
 * noted as of the old one.
 *
 * A connection ends with the process at its other end.  So a report that came
 * over it and names the start of the entry shows that all further answers on it
 * are of that start, and so of the entry's version.
 */
#ifndef KERNEL_TARGET_START_H
#define KERNEL_TARGET_START_H

#include <stdbool.h>
#include <stdint.h>

/* What a target says of itself. */
struct target_report {
	bool readable;
	uint64_t born_ms; /* start as Unix time; 0: it names none */
};

enum target_start {
	TARGET_START_LISTED, /* that of the entry */
	TARGET_START_OTHER,  /* of unknown version until its entry arrives */
	TARGET_START_UNKNOWN
};

/* A call to a target. */
struct target_start_call {
	bool may_resume;  /* it gets a stream that may be resumed */
	bool reports;     /* targets of the service report their start */
	bool mixed;       /* the service has several versions */
	bool has_version; /* the stream has begun, at a version */
};

/* Whether the version of the target that gets the call should be certain. */
bool target_start_matters(const struct target_start_call *c);
/*
 * Whether no other target may get it: while hosts know one version only, a
 * stream begins at a target of unknown version rather than at none.
 */
bool target_start_needed(const struct target_start_call *c);
/*
 * Decides from a report over the connection and the start that the entry names.
 * A target that names no start is taken for that of the entry.
 */
enum target_start target_start_decide(
    const struct target_report *r, uint64_t listed_ms);

#endif
