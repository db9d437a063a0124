/*
 * The sequoiactl commands on the configuration of the fleet: check, apply,
 * diff, show, pull and audit.
 */
#ifndef CTL_CONFCMD_H
#define CTL_CONFCMD_H

#include "ctl/session.h"

/* Value of confcmd_opts.base if the option --base is not given. */
#define BASE_UNSET UINT64_MAX

struct confcmd_opts {
	const char *kv;        /* endpoints of the key-value service */
	const char *dir;       /* folder of configuration files */
	const char *who;       /* operator's name in the audit trail */
	const char *change_id; /* NULL: generate one */
	/* Generation that the change starts from; BASE_UNSET: saved in dir. */
	uint64_t base;
	/* show: generation to print; 0: the one in force. */
	uint64_t generation;
	bool wait; /* apply: wait until the change is in force in the fleet */
	const char *operators_addr; /* IP:PORT of the sequoiad polled by wait */
	bool json;                  /* print JSON */
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
/* Writes the files in force into the folder and saves their generation. */
int confcmd_pull(const struct confcmd_opts *o);
/* Prints all retained records of the configuration log. */
int confcmd_audit(const struct confcmd_opts *o);

#endif
