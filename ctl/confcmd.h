/*
 * The sequoiactl commands on the configuration of the fleet: check, apply,
 * diff, show, pull and audit.
 */
#ifndef CTL_CONFCMD_H
#define CTL_CONFCMD_H

#include "ctl/session.h"

/* Value of base if the option --base is not given. */
#define BASE_UNSET UINT64_MAX

struct confcmd_opts {
	const char *kv; /* endpoints of the key-value service */
	const char *dir;
	const char *who;       /* operator's name in the audit trail */
	const char *change_id; /* NULL: generate one */
	uint64_t base;         /* BASE_UNSET: as saved in the folder */
	uint64_t generation;   /* to show; 0: the one in force */
	bool wait; /* apply: until the fleet has the change in force */
	const char
	    *operators_addr; /* operators' address to poll while waiting */
	bool json;
};

/*
 * All commands return an exit code (enum exit_code) and print errors on
 * standard error.
 */

/* Validates the folder without contacting the key-value service. */
int confcmd_check(const struct confcmd_opts *o);
/* Makes the folder the configuration in force. */
int confcmd_apply(const struct confcmd_opts *o);
/* Prints the differences between the configuration in force and the folder. */
int confcmd_diff(const struct confcmd_opts *o);
/* Prints the files of a generation. */
int confcmd_show(const struct confcmd_opts *o);
/* Writes the files in force and their generation into the folder. */
int confcmd_pull(const struct confcmd_opts *o);
/* Prints every record of the configuration log that is still retained. */
int confcmd_audit(const struct confcmd_opts *o);

#endif
