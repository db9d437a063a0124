/*
 * The settings of one sequoiad, read from an INI file.  Each key can be
 * overridden by a command line option of the same name.  settings_keys returns
 * the table of all keys, with their units and meanings.
 */
#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "base/clock.h"
#include "base/ini.h"

#define MAX_PEERS 64

struct settings {
	char *id;
	char *listen;    /* IP:PORT, for callers */
	char *operators; /* IP:PORT, for operators */
	char *rpc;       /* IP:PORT, for other sequoiads */
	char *failure_domain;
	uint32_t cpu_share; /* thousandths of a core */
	uint32_t link_mbps; /* thousandths of a Mbit/s */
	uint32_t memory_mb;
	char *peers;     /* IP:PORT of other sequoiads, separated by spaces */
	char *kv;        /* IP:PORT, separated by spaces */
	char *kv_source; /* local IP; empty: chosen by the system */
	char *hosts;     /* IP:PORT; empty: none */
	char *fleet_key;
	uint32_t workers;
	uint32_t max_body;
	char *form; /* the platform's interface: "etcd" or "routes" */
	usec_t kv_timeout;
	usec_t drain;
	usec_t keep;
	uint32_t keep_bytes;
	usec_t body_timeout;
	uint32_t log_level;
	usec_t grace;
	uint32_t retry_ratio; /* thousandths */
	uint32_t retry_slack; /* thousandths of a call */
	usec_t retry_window;
	usec_t target_drain;
	uint32_t cold_over;  /* thousandths */
	uint32_t cold_slack; /* thousandths of a request */
	uint32_t placer_min_hosts;
};

enum setting_type {
	SETTING_TEXT,
	SETTING_ADDR,  /* IP:PORT; may be empty if the key has a fallback */
	SETTING_IP,    /* an IP address, or empty */
	SETTING_ADDRS, /* IP:PORT, separated by spaces */
	SETTING_U32,
	SETTING_MILLI, /* a decimal number, stored in thousandths */
	SETTING_MSEC,  /* decimal milliseconds, stored as usec_t */
	SETTING_SEC    /* decimal seconds, stored as usec_t */
};

struct setting_key {
	const char *section;
	const char *name;
	enum setting_type type;
	size_t offset;
	/* Bounds, in units of the key's value divided by setting_scale. */
	uint64_t min;
	uint64_t max;
	const char *default_text; /* NULL: the key must be set */
	const char *unit;
	const char *doc;
};

/*
 * Reads a file (NULL: none) and then the overrides: v[i] overrides key i unless
 * it is NULL.  On failure returns ERR_SETTING and sets e to a text with the
 * file, line, key, the value found and what to write instead.
 */
int settings_read(
    struct settings *s, const char *path, const char *const *v, struct err *e);
void settings_free(struct settings *s);
const struct setting_key *settings_keys(size_t *n);
/* Number of steps of a key's bounds in one unit of its value. */
double setting_scale(enum setting_type t);

#endif
