/* Commands that read and change the configuration of the fleet. */
#ifndef CTL_CHANGE_H
#define CTL_CHANGE_H

#include "ctl/session.h"

#define BASE_UNSET UINT64_MAX

struct change_opts {
	const char *kv;
	const char *dir;
	const char *who;       /* for the audit trail */
	const char *change_id; /* NULL: a new one */
	uint64_t base;         /* BASE_UNSET: the folder's own note of it */
	uint64_t generation;   /* of show; 0: the present one */
	bool wait;
	const char *sequoiad; /* operators' address to ask when waiting */
	bool json;
};

/* All return an exit code and have said on standard error what is wrong. */
int change_check(const struct change_opts *o);
int change_apply(const struct change_opts *o);
int change_diff(const struct change_opts *o);
int change_show(const struct change_opts *o);
/* Writes the present files into the folder and notes their generation. */
int change_pull(const struct change_opts *o);
int change_audit(const struct change_opts *o);

#endif
