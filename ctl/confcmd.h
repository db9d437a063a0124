/* Commands that read and change the configuration of the fleet. */
#ifndef CTL_CONFCMD_H
#define CTL_CONFCMD_H

#include "ctl/session.h"

#define BASE_UNSET UINT64_MAX

struct confcmd_opts {
	const char *kv;
	const char *dir;
	const char *who;       /* for the audit trail */
	const char *change_id; /* NULL: a new one */
	uint64_t base;         /* BASE_UNSET: the folder's own note of it */
	uint64_t generation;   /* of show; 0: the present one */
	bool wait;
	const char *operators_addr; /* operators' address to ask when waiting */
	bool json;
};

/* All return an exit code and have said on standard error what is wrong. */
int confcmd_check(const struct confcmd_opts *o);
int confcmd_apply(const struct confcmd_opts *o);
int confcmd_diff(const struct confcmd_opts *o);
int confcmd_show(const struct confcmd_opts *o);
/* Writes the present files into the folder and notes their generation. */
int confcmd_pull(const struct confcmd_opts *o);
int confcmd_audit(const struct confcmd_opts *o);

#endif
