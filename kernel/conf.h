/*
 * The configuration: services, pipelines with their stages, workspaces and
 * policy, read from the operators' merged INI files.
 *
 * A struct conf is immutable once read and has an atomic reference count, so
 * that threads may share it.  One table (conf_keys()) lists all keys with
 * their units, limits, defaults and descriptions.  Times and durations are in
 * microseconds, whatever the unit of the key.
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
	CONF_NAMES,  /* names separated by spaces */
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
	size_t offset; /* of the field in the object's struct */
	uint64_t min;
	uint64_t max;
	const char *default_text; /* as in a file; NULL: the key is required */
	const char *unit;
	const char *doc;
	const char *words; /* CONF_WORD: the words, separated by spaces */
};

/* Whether targets refuse orders with an outdated fencing number. */
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
	SPLIT_QUANTILE, /* by quantiles of the stages' past calls */
	SPLIT_EVEN,     /* the same share for each remaining stage */
	SPLIT_NONE      /* each stage may use all the remaining time */
};

struct names {
	char **v;
	size_t n;
};

/* How a stage's calls are placed, retried and hedged. */
struct conf_policy {
	const struct balance_ops *balance;
	uint32_t admission;      /* bool: refuse what can't finish in time */
	uint32_t fair;           /* bool: fair queueing between workspaces */
	uint32_t split;          /* enum split */
	uint32_t retries;        /* attempts after the first */
	uint32_t retry_budget;   /* retries and hedges, percent of calls */
	uint32_t hedge;          /* bool */
	uint32_t hedge_quantile; /* percent */
	uint32_t set_aside;      /* bool: avoid failing targets */
	uint32_t set_aside_cap;  /* percent of a service's targets */
	uint32_t resume;         /* bool: resume streams on another target */
	uint32_t stall;          /* bool: cancel calls without progress early */
	uint32_t prefer_domain;  /* bool: prefer the host's failure domain */
	uint32_t imbalance;      /* excess calls at an affinity target */
};

/* Settings of the whole fleet. */
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
	char *list_name; /* name in the host list; empty: name */
	struct names targets;
	char *model;
	char *version;
	struct names adapters;
	char *role;
	uint32_t fencing;     /* enum fencing */
	uint32_t loading_cap; /* percent of targets that may load at once */
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
 * Reads a configuration from merged INI files.  On error returns NULL, and e
 * (ERR_CONFIG) names the file, line, section, key and value found, and what to
 * write instead.
 */
struct conf *conf_read(
    const struct ini *ini, uint64_t generation, struct err *e);
struct conf *conf_ref(struct conf *c);
void conf_unref(struct conf *c);

const struct conf_service *conf_service(const struct conf *c, struct str name);
const struct conf_pipeline *conf_pipeline(
    const struct conf *c, struct str name);
const struct conf_workspace *conf_workspace(
    const struct conf *c, struct str name);
/* The enabled workspace that a bearer token belongs to, or NULL. */
const struct conf_workspace *conf_workspace_by_token(
    const struct conf *c, struct str token);
/* Whether the workspace may use the pipeline. */
bool conf_grants(const struct conf_pipeline *p, const struct conf_workspace *w);
/*
 * The earliest shutdown date of the fleet, the pipeline and its services, or 0
 * if there is none.  *what is set to the service's name if the date is that of
 * a service, else to an empty string.
 */
usec_t conf_sunset(
    const struct conf *c, const struct conf_pipeline *p, const char **what);
bool names_contain(const struct names *l, struct str name);

const struct conf_key *conf_keys(size_t *n);
/* The name of an HTTP method: "POST", "PUT" or "GET". */
const char *method_name(enum method m);
/* The first word of an object's section: "policy", "fleet", "service" ... */
const char *conf_object_name(enum conf_object o);

#endif
