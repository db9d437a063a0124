/*
 * The configuration in force: services, pipelines with their stages,
 * workspaces and policy, read from the operators' merged INI files.
 *
 * A conf is immutable once read and counted by reference.  Every key that may
 * be set stands in one table (conf_keys), which also holds its unit, bounds,
 * default and description.
 */
#ifndef KERNEL_CONF_H
#define KERNEL_CONF_H

#include "base/clock.h"
#include "base/hash.h"
#include "base/ini.h"
#include "kernel/bounds.h"

struct stage_ops;
struct balance_ops;

enum conf_type {
	CONF_U32,    /* whole number */
	CONF_MSEC,   /* whole number of milliseconds, kept in microseconds */
	CONF_SEC,    /* whole number of seconds, kept in microseconds */
	CONF_BOOL,   /* yes or no */
	CONF_TEXT,   /* any text */
	CONF_NAMES,  /* names separated by blanks */
	CONF_WORD,   /* one of a list of words */
	CONF_DATE,   /* YYYY-MM-DDTHH:MM:SSZ, kept in microseconds */
	CONF_KIND,   /* a registered stage kind */
	CONF_BALANCE /* a registered balancing policy */
};

enum conf_object {
	CONF_POLICY,
	CONF_FLEET,
	CONF_SERVICE,
	CONF_PIPELINE,
	CONF_STAGE,
	CONF_WORKSPACE,
	CONF_OBJECTS
};

struct conf_key {
	enum conf_object object;
	const char *name;
	enum conf_type type;
	size_t offset;
	uint64_t min;
	uint64_t max;
	const char *default_text; /* as written in a file; NULL: must be set */
	const char *unit;
	const char *doc;
	const char *words; /* CONF_WORD: separated by blanks */
};

enum fencing {
	FENCING_HONOURED,
	FENCING_IGNORED
};

enum method {
	METHOD_POST,
	METHOD_PUT,
	METHOD_GET
};

enum split {
	SPLIT_QUANTILE, /* by the stages' measured quantiles */
	SPLIT_EVEN,     /* the same share for each stage left */
	SPLIT_NONE      /* each stage may use all that is left */
};

struct names {
	char **v;
	size_t n;
};

/* How a stage's calls are placed, retried and hedged. */
struct conf_policy {
	const struct balance_ops *balance;
	uint32_t admission;      /* bool: refuse early what can't make it */
	uint32_t fair;           /* bool: fair queues between workspaces */
	uint32_t split;          /* enum split */
	uint32_t retries;        /* further attempts after the first */
	uint32_t retry_budget;   /* percent of calls */
	uint32_t hedge;          /* bool */
	uint32_t hedge_quantile; /* percent */
	uint32_t set_aside;      /* bool: avoid failing runners */
	uint32_t set_aside_cap;  /* percent of a service's runners */
	uint32_t resume;         /* bool: take up broken streams elsewhere */
	uint32_t stall;          /* bool: give up silent connections early */
	uint32_t prefer_domain;  /* bool: prefer the own failure domain */
	uint32_t imbalance;      /* calls above the other candidate */
};

/* What holds for the fleet as a whole. */
struct conf_fleet {
	usec_t claim_retention;
	uint32_t claim_answer_bytes;
	usec_t sunset; /* 0: none */
	usec_t host_list_interval;
	uint32_t probe_percent;
};

struct conf_service {
	char *name;
	const struct stage_ops *kind;
	char *listed;
	struct names targets;
	char *model;
	char *version;
	struct names adapters;
	char *role;
	uint32_t fencing;     /* enum fencing */
	uint32_t loading_cap; /* percent of runners that may load at once */
	uint32_t orders;      /* bool: send orders to this service */
	usec_t order_timeout;
	uint32_t concurrency;
	uint32_t method; /* enum method */
	char *path;
	char *lookup;
	usec_t sunset;
	uint32_t enabled;
};

struct conf_stage {
	char *name;
	const struct conf_service *service;
	char *service_name;
	uint32_t repeatable; /* bool */
	struct names prompt;
	char *output;
	uint32_t max_tokens;
	struct conf_policy policy;
};

struct conf_pipeline {
	char *name;
	struct names stage_names;
	struct conf_stage stages[MAX_STAGES];
	size_t n_stages;
	struct names workspaces;
	struct names answer;
	usec_t deadline;
	uint32_t priority;
	usec_t sunset;
	uint32_t enabled;
	bool needs_key; /* some stage is not repeatable */
};

struct conf_workspace {
	char *name;
	struct names tokens; /* SHA-256 in hex */
	uint32_t weight;
	uint32_t requests_per_second; /* 0: no limit */
	uint32_t requests_in_flight;  /* 0: no limit */
	uint32_t tokens_per_second;   /* 0: no limit */
	char *salt;
	uint32_t enabled;
};

struct conf {
	unsigned refs;
	uint64_t generation;
	struct conf_policy policy;
	struct conf_fleet fleet;
	struct conf_service **services;
	size_t n_services;
	struct conf_pipeline **pipelines;
	size_t n_pipelines;
	struct conf_workspace **workspaces;
	size_t n_workspaces;
};

/*
 * Reads a merged set.  On error NULL and e (ERR_CONFIG) names file, line,
 * section, key, what was found and what to write.
 */
struct conf *conf_read(
    const struct ini *set, uint64_t generation, struct err *e);
struct conf *conf_ref(struct conf *c);
void conf_unref(struct conf *c);

const struct conf_service *conf_service(const struct conf *c, struct str name);
const struct conf_pipeline *conf_pipeline(
    const struct conf *c, struct str name);
const struct conf_workspace *conf_workspace(
    const struct conf *c, struct str name);
/* The workspace that a bearer token belongs to, or NULL. */
const struct conf_workspace *conf_workspace_by_token(
    const struct conf *c, struct str token);
/* Whether the pipeline serves the workspace. */
bool conf_grants(const struct conf_pipeline *p, const struct conf_workspace *w);
/*
 * The earliest shutdown date of the fleet, the pipeline and its services, or
 * 0; *what is the name of the service that it belongs to, else empty.
 */
usec_t conf_sunset(
    const struct conf *c, const struct conf_pipeline *p, const char **what);
bool names_contain(const struct names *l, struct str name);

const struct conf_key *conf_keys(size_t *n);
/* "POST", "PUT" or "GET". */
const char *method_name(enum method m);
/* "policy", "fleet", "service", ...: the first word of a section. */
const char *conf_object_name(enum conf_object o);

#endif
