/*
 * The settings of one sequoiad: an INI file, each key of which an option of
 * the same name overrides.  All keys stand in one table (settings_keys).
 */
#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "base/clock.h"
#include "base/ini.h"

#define MAX_PEERS 64

struct settings {
	char *id;
	char *listen;    /* callers: IP:PORT */
	char *operators; /* operators: IP:PORT */
	char *rpc;       /* other sequoiads: IP:PORT */
	char *failure_domain;
	uint32_t cpu_share; /* thousandths of a core */
	uint32_t link_mbps; /* thousandths of a Mbit/s */
	char *peers;        /* IP:PORT of other sequoiads, by blanks */
	char *kv;           /* IP:PORT, by blanks */
	char *kv_source;    /* IP; empty: the system's choice */
	char *hosts;        /* IP:PORT; empty: none */
	char *fleet_key;
	uint32_t workers;
	uint32_t max_body;
	char *form; /* of the platform: "etcd" or "routes" */
	usec_t kv_timeout;
	usec_t drain;
	usec_t keep;
	uint32_t keep_bytes;
	usec_t body_timeout;
	uint32_t log_level;
	usec_t grace;
	uint32_t retry_percent;
	uint32_t retry_slack;
	usec_t retry_window;
};

enum setting_type {
	SETTING_TEXT,
	SETTING_ADDR,  /* IP:PORT, or empty if the fallback is */
	SETTING_IP,    /* an IP number, or empty */
	SETTING_ADDRS, /* IP:PORT separated by blanks */
	SETTING_U32,
	SETTING_MILLI, /* a decimal number, kept in thousandths */
	SETTING_MSEC
};

struct setting_key {
	const char *section;
	const char *name;
	enum setting_type type;
	size_t offset;
	uint64_t min;
	uint64_t max;
	const char *default_text; /* NULL: must be set */
	const char *unit;
	const char *doc;
};

/*
 * Reads a file (NULL: none) and then the overrides, of which v[i] belongs to
 * key i (NULL: not given).  On error ERR_SETTING names file, line, key, what
 * was found and what to write.
 */
int settings_read(
    struct settings *s, const char *path, const char *const *v, struct err *e);
void settings_free(struct settings *s);
const struct setting_key *settings_keys(size_t *n);

#endif
