/* sequoiactl: the operators' command. */
#include "ctl/change.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "sequoiactl " SEQUOIA_VERSION;

enum option_key {
	OPTION_KV = 'k',
	OPTION_WHO = 'w',
	OPTION_SEQUOIAD = 's',
	OPTION_BASE = 256,
	OPTION_CHANGE_ID,
	OPTION_GENERATION,
	OPTION_WAIT,
	OPTION_JSON
};

struct options {
	struct change_opts change;
	const char *command;
};

struct command {
	const char *name;
	bool dir; /* takes a folder */
	int (*run)(const struct change_opts *o);
};

static const struct command commands[] = {
	{ "check", true, change_check },
	{ "apply", true, change_apply },
	{ "diff", true, change_diff },
	{ "pull", true, change_pull },
	{ "show", false, change_show },
	{ "audit", false, change_audit },
};

static const struct argp_option options[] = {
	{ "kv", OPTION_KV, "IP:PORT", 0, "The key-value service", 0 },
	{ "sequoiad", OPTION_SEQUOIAD, "IP:PORT", 0,
	    "Operators' address of a sequoiad", 0 },
	{ "who", OPTION_WHO, "NAME", 0, "Your name for the audit trail", 0 },
	{ "base", OPTION_BASE, "N", 0,
	    "The generation that the folder started from", 0 },
	{ "change-id", OPTION_CHANGE_ID, "ID", 0,
	    "The id of a change that was not confirmed", 0 },
	{ "generation", OPTION_GENERATION, "N", 0, "The generation to show",
	    0 },
	{ "wait", OPTION_WAIT, NULL, 0,
	    "Wait until the change is in force everywhere", 0 },
	{ "json", OPTION_JSON, NULL, 0, "Write JSON", 0 },
	{ 0 },
};

static uint64_t
number(struct argp_state *state, const char *arg)
{
	uint64_t v;

	if (!str_u64(str_from(arg), &v))
		argp_error(state, "%s: write a whole number", arg);
	return v;
}

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case OPTION_KV:
		o->change.kv = arg;
		return 0;
	case OPTION_SEQUOIAD:
		o->change.sequoiad = arg;
		return 0;
	case OPTION_WHO:
		o->change.who = arg;
		return 0;
	case OPTION_BASE:
		o->change.base = number(state, arg);
		return 0;
	case OPTION_CHANGE_ID:
		o->change.change_id = arg;
		return 0;
	case OPTION_GENERATION:
		o->change.generation = number(state, arg);
		return 0;
	case OPTION_WAIT:
		o->change.wait = true;
		return 0;
	case OPTION_JSON:
		o->change.json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (o->command == NULL)
			o->command = arg;
		else if (o->change.dir == NULL)
			o->change.dir = arg;
		else
			argp_error(state, "%s: one argument too many", arg);
		return 0;
	case ARGP_KEY_END:
		if (o->command == NULL)
			argp_error(state, "write a command");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int
run(const struct options *o)
{
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		const struct command *c = &commands[i];

		if (strcmp(c->name, o->command) != 0)
			continue;
		if (c->dir && o->change.dir == NULL) {
			fprintf(
			    stderr, "sequoiactl: %s: name a folder\n", c->name);
			return EXIT_USAGE;
		}
		return c->run(&o->change);
	}
	fprintf(stderr, "sequoiactl: %s: no such command: see --help\n",
	    o->command);
	return EXIT_USAGE;
}

int
main(int argc, char **argv)
{
	struct argp argp = { options, parse, "COMMAND [DIR]",
		"Commands: check DIR, apply DIR, diff DIR, pull DIR, show, "
		"audit." };
	const char *user = getenv("USER");
	struct options o = {
		.change = {
		    .kv = "127.0.0.1:2379",
		    .sequoiad = "127.0.0.1:8081",
		    .who = user != NULL ? user : "unknown",
		    .base = BASE_UNSET,
		},
	};

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	return run(&o);
}
