/* sequoiactl: the command-line tool for operators. */
#include "ctl/hostcmd.h"
#include "ctl/confcmd.h"
#include "ctl/settings_page.h"

#include <argp.h>
#include <pwd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

const char *argp_program_version = "sequoiactl " SEQUOIA_VERSION;

#define MAX_ARGS 64

enum option_key {
	OPTION_KV = 'k',
	OPTION_HEADER = 'H',
	OPTION_WHO = 'w',
	OPTION_SEQUOIAD = 's',
	OPTION_BASE = 256,
	OPTION_CHANGE_ID,
	OPTION_GENERATION,
	OPTION_WAIT,
	OPTION_JSON,
	OPTION_TO,
	OPTION_TOKEN,
	OPTION_KEY,
	OPTION_ATTEMPT,
	OPTION_TIMEOUT_MS,
	OPTION_STREAM,
	OPTION_FILE,
	OPTION_HOST
};

struct options {
	struct confcmd_opts confcmd;
	struct hostcmd_opts hostcmd;
	const char *command;
	const char *args[MAX_ARGS];
};

enum command_kind {
	COMMAND_CONF, /* reads or changes the configuration */
	COMMAND_HOST, /* talks to sequoiads */
	COMMAND_LOCAL /* contacts no other process */
};

struct command {
	const char *name;
	const char *args;
	const char *doc;
	enum command_kind kind;
	union {
		int (*confcmd)(const struct confcmd_opts *o);
		int (*hostcmd)(const struct hostcmd_opts *o);
		void (*print)(struct buf *out);
	};
};

static const struct command commands[] = {
	{ "check", "DIR", "Check a folder of configuration", COMMAND_CONF,
	    { .confcmd = confcmd_check } },
	{ "apply", "DIR", "Apply a folder as the configuration in force",
	    COMMAND_CONF, { .confcmd = confcmd_apply } },
	{ "diff", "DIR", "Compare a folder with the configuration in force",
	    COMMAND_CONF, { .confcmd = confcmd_diff } },
	{ "pull", "DIR", "Write the configuration in force into a folder",
	    COMMAND_CONF, { .confcmd = confcmd_pull } },
	{ "show", "", "Print the configuration in force", COMMAND_CONF,
	    { .confcmd = confcmd_show } },
	{ "audit", "", "Print who changed what and when", COMMAND_CONF,
	    { .confcmd = confcmd_audit } },
	{ "status", "[IP:PORT ...]",
	    "Print the state and the views of sequoiads", COMMAND_HOST,
	    { .hostcmd = hostcmd_status } },
	{ "call", "PIPELINE [JSON]", "Send a request and print its answer",
	    COMMAND_HOST, { .hostcmd = hostcmd_call } },
	{ "drain", "IP:PORT", "Finish the requests in flight, take no new ones",
	    COMMAND_HOST, { .hostcmd = hostcmd_drain } },
	{ "explain", "IP:PORT [PATH]",
	    "Print what would become of a request, without it", COMMAND_HOST,
	    { .hostcmd = hostcmd_explain } },
	{ "settings", "", "Print all keys as docs/SETTINGS.md", COMMAND_LOCAL,
	    { .print = settings_page_write } },
};

#define N_COMMANDS (sizeof(commands) / sizeof(commands[0]))

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
	{ "to", OPTION_TO, "IP:PORT", 0, "Callers' address, for call", 0 },
	{ "token", OPTION_TOKEN, "TOKEN", 0,
	    "The workspace's token, for call (or SEQUOIA_TOKEN)", 0 },
	{ "key", OPTION_KEY, "UUID", 0,
	    "Idempotency key, for call; \"new\" generates one", 0 },
	{ "attempt", OPTION_ATTEMPT, "N", 0, "Attempt number, for call", 0 },
	{ "timeout-ms", OPTION_TIMEOUT_MS, "MS", 0, "Time limit, for call", 0 },
	{ "stream", OPTION_STREAM, NULL, 0, "Stream the answer, for call", 0 },
	{ "file", OPTION_FILE, "FILE", 0,
	    "The head of a request, for explain; \"-\" reads input", 0 },
	{ "host", OPTION_HOST, "NAME", 0, "Host of the request, for explain",
	    0 },
	{ "header", OPTION_HEADER, "NAME: VALUE", 0,
	    "A header of the request, for explain", 0 },
	{ 0 },
};

static uint64_t
number(struct argp_state *state, const char *arg)
{
	uint64_t v;

	if (!str_parse_u64(str_from(arg), &v))
		argp_error(state, "%s: write a whole number", arg);
	return v;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case OPTION_KV:
		o->confcmd.kv = arg;
		return 0;
	case OPTION_SEQUOIAD:
		o->confcmd.operators_addr = arg;
		o->hostcmd.operators_addr = arg;
		return 0;
	case OPTION_WHO:
		o->confcmd.who = arg;
		return 0;
	case OPTION_BASE:
		o->confcmd.base = number(state, arg);
		return 0;
	case OPTION_CHANGE_ID:
		o->confcmd.change_id = arg;
		return 0;
	case OPTION_GENERATION:
		o->confcmd.generation = number(state, arg);
		return 0;
	case OPTION_WAIT:
		o->confcmd.wait = true;
		return 0;
	case OPTION_JSON:
		o->confcmd.json = true;
		o->hostcmd.json = true;
		return 0;
	case OPTION_TO:
		o->hostcmd.callers_addr = arg;
		return 0;
	case OPTION_TOKEN:
		o->hostcmd.token = arg;
		return 0;
	case OPTION_KEY:
		o->hostcmd.key = arg;
		return 0;
	case OPTION_ATTEMPT:
		o->hostcmd.attempt = arg;
		return 0;
	case OPTION_TIMEOUT_MS:
		o->hostcmd.timeout_ms = arg;
		return 0;
	case OPTION_STREAM:
		o->hostcmd.stream = true;
		return 0;
	case OPTION_FILE:
		o->hostcmd.file = arg;
		return 0;
	case OPTION_HOST:
		o->hostcmd.host = arg;
		return 0;
	case OPTION_HEADER:
		if (o->hostcmd.n_fields == HOSTCMD_MAX_FIELDS)
			argp_error(state, "%s: one header too many", arg);
		else
			o->hostcmd.fields[o->hostcmd.n_fields++] = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (o->command == NULL)
			o->command = arg;
		else if (o->hostcmd.n < MAX_ARGS)
			o->args[o->hostcmd.n++] = arg;
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
run_confcmd(const struct command *c, struct options *o)
{
	size_t n_args = *c->args != '\0' ? 1 : 0;

	if (o->hostcmd.n != n_args) {
		fprintf(stderr, "sequoiactl: %s: write %s %s\n", c->name,
		    c->name, n_args > 0 ? c->args : "without an argument");
		return EXIT_USAGE;
	}
	o->confcmd.dir = o->args[0];
	return c->confcmd(&o->confcmd);
}

static int
run_local(const struct command *c)
{
	struct buf out = { 0 };

	c->print(&out);
	fwrite(out.p, 1, out.n, stdout);
	buf_free(&out);
	return EXIT_DONE;
}

static int
run(struct options *o)
{
	const struct command *c = commands;

	while (c < commands + N_COMMANDS && strcmp(c->name, o->command) != 0)
		c++;
	if (c == commands + N_COMMANDS) {
		fprintf(stderr, "sequoiactl: %s: no such command: see --help\n",
		    o->command);
		return EXIT_USAGE;
	}
	switch (c->kind) {
	case COMMAND_CONF:
		return run_confcmd(c, o);
	case COMMAND_HOST:
		o->hostcmd.args = o->args;
		return c->hostcmd(&o->hostcmd);
	case COMMAND_LOCAL:
		return run_local(c);
	}
	return EXIT_USAGE;
}

/* Appends the list of commands and the exit codes for --help. */
static void
put_commands(struct buf *out)
{
	buf_put(out, STR("Commands:\n"));
	for (size_t i = 0; i < N_COMMANDS; i++)
		buf_printf(out, "  %-9s%-16s %s\n", commands[i].name,
		    commands[i].args, commands[i].doc);
	buf_put(out,
	    STR("\nExit codes: 0 done, 1 refused, 2 wrong usage, 3 no "
		"answer.\vSee sequoiactl(1)."));
}

int
main(int argc, char **argv)
{
	struct buf doc = { 0 };
	struct argp argp = { options, parse_option, "COMMAND [ARGUMENT...]" };
	const struct passwd *user = getpwuid(getuid());
	struct options o = {
		.confcmd = {
		    .kv = "127.0.0.1:2379",
		    .operators_addr = "127.0.0.1:8081",
		    .who = user != NULL ? user->pw_name : "unknown",
		    .base = BASE_UNSET,
		},
		.hostcmd = {
		    .operators_addr = "127.0.0.1:8081",
		    .callers_addr = "127.0.0.1:8080",
		    .token = getenv("SEQUOIA_TOKEN"),
		},
	};
	int rc;

	put_commands(&doc);
	argp.doc = doc.p;
	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	rc = run(&o);
	buf_free(&doc);
	return rc;
}
