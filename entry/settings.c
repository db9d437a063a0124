#include "entry/settings.h"
#include "kernel/memory.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OFFSET(field) offsetof(struct settings, field)

static const struct setting_key keys[] = {
	{ "sequoiad", "id", SETTING_TEXT, OFFSET(id), 1, 48, NULL, "",
	    "Name of this sequoiad, unique in the fleet and kept over "
	    "restarts." },
	{ "sequoiad", "listen", SETTING_ADDR, OFFSET(listen), 0, 0, NULL,
	    "IP:PORT", "Address for callers." },
	{ "sequoiad", "operators", SETTING_ADDR, OFFSET(operators), 0, 0, NULL,
	    "IP:PORT", "Address for operators." },
	{ "sequoiad", "rpc", SETTING_ADDR, OFFSET(rpc), 0, 0, NULL, "IP:PORT",
	    "Address for other sequoiads (UDP and TCP)." },
	{ "sequoiad", "failure_domain", SETTING_TEXT, OFFSET(failure_domain), 1,
	    48, NULL, "", "The failure domain of the host." },
	{ "sequoiad", "cpu_share", SETTING_MILLI, OFFSET(cpu_share), 1, 64000,
	    "1.0", "cores",
	    "Cores that sequoiad may use: larger hosts coordinate stage "
	    "services." },
	{ "sequoiad", "link_mbps", SETTING_MILLI, OFFSET(link_mbps), 1,
	    1000000000, "1000", "Mbit/s",
	    "Bandwidth of the host's network link." },
	{ "sequoiad", "memory_mb", SETTING_U32, OFFSET(memory_mb),
	    MEMORY_HOST_MIN_MB, 1048576, "256", "MB",
	    "Memory that sequoiad may take; that of the machine if it is less. "
	    "Three eighths of it, 26 MB at least, bound the bytes that it "
	    "holds for requests, answers, slow callers, other hosts, the "
	    "store and probes." },
	{ "sequoiad", "peers", SETTING_ADDRS, OFFSET(peers), 0, 0, "",
	    "IP:PORT ...", "RPC addresses of some other sequoiads." },
	{ "sequoiad", "workers", SETTING_U32, OFFSET(workers), 1, 4000, "256",
	    "threads", "Callers that are served at the same time." },
	{ "sequoiad", "max_body_bytes", SETTING_U32, OFFSET(max_body), 1,
	    1048576, "1048576", "bytes",
	    "The largest request body that is accepted." },
	{ "sequoiad", "body_timeout_ms", SETTING_MSEC, OFFSET(body_timeout),
	    100, 60000, "5000", "ms",
	    "Time in which a complete request body must arrive." },
	{ "sequoiad", "drain_ms", SETTING_MSEC, OFFSET(drain), 0, 600000,
	    "2000", "ms",
	    "Time after SIGTERM until new requests are refused.  With form = "
	    "routes, those that would not end before the exit are refused from "
	    "SIGTERM on." },
	{ "sequoiad", "keep_ms", SETTING_MSEC, OFFSET(keep), 0, 3600000,
	    "60000", "ms", "How long an ended request can be queried." },
	{ "sequoiad", "keep_bytes", SETTING_U32, OFFSET(keep_bytes), 0,
	    1073741824, "33554432", "bytes",
	    "Memory for ended requests that can be queried, at most a quarter "
	    "of the bound that memory_mb sets." },
	{ "sequoiad", "log_level", SETTING_U32, OFFSET(log_level), 3, 7, "6",
	    "", "The least severe syslog level that is logged." },
	{ "sequoiad", "grace_s", SETTING_SEC, OFFSET(grace), 1000, 600000, "8",
	    "s",
	    "Time after SIGTERM at which the platform kills the process.  With "
	    "form = routes it ends itself shortly before; with etcd it refuses "
	    "connections from shortly before, once all requests that it has "
	    "taken have ended." },
	{ "platform", "form", SETTING_TEXT, OFFSET(form), 1, 16, "etcd", "",
	    "Interface of the platform: etcd (pipelines) or routes." },
	{ "platform", "kv", SETTING_ADDRS, OFFSET(kv), 0, 0, NULL,
	    "IP:PORT ...", "The key-value service's endpoints." },
	{ "platform", "kv_timeout_ms", SETTING_MSEC, OFFSET(kv_timeout), 50,
	    60000, "1000", "ms",
	    "Timeout of one call to the key-value service." },
	{ "platform", "kv_source", SETTING_IP, OFFSET(kv_source), 0, 0, "",
	    "IP", "Local address of the calls to the key-value service." },
	{ "platform", "hosts", SETTING_ADDR, OFFSET(hosts), 0, 0, "", "IP:PORT",
	    "Address of the host list; empty if there is none." },
	{ "routes", "retry_ratio", SETTING_MILLI, OFFSET(retry_ratio), 0, 1000,
	    "0.2", "", "Retries allowed for each request to a service." },
	{ "routes", "retry_slack", SETTING_MILLI, OFFSET(retry_slack), 0,
	    1000000000, "50", "calls",
	    "Retries allowed in addition per window, for the whole fleet." },
	{ "routes", "retry_window_s", SETTING_SEC, OFFSET(retry_window), 1000,
	    600000, "10", "s", "The window of retry_ratio and retry_slack." },
	{ "routes", "target_drain_ms", SETTING_MSEC, OFFSET(target_drain), 500,
	    600000, "2000", "ms",
	    "Time after which a target that reported its leave gets no new "
	    "calls." },
	{ "routes", "cold_over", SETTING_MILLI, OFFSET(cold_over), 0, 1000000,
	    "1", "",
	    "A cold target may get this many times the requests a second that "
	    "the configuration names for its service, from the whole fleet." },
	{ "routes", "cold_slack", SETTING_MILLI, OFFSET(cold_slack), 0,
	    1000000000, "0", "requests",
	    "Requests that a cold target may get in addition in one second." },
	{ "routes", "placer_min_hosts", SETTING_U32, OFFSET(placer_min_hosts),
	    0, 100000, "17", "hosts",
	    "In fleets of at least so many hosts, one host places the requests "
	    "of all on the engines of a failure domain; 0: each host always "
	    "chooses by itself." },
	{ "fleet", "fleet_key", SETTING_TEXT, OFFSET(fleet_key), 16, 256, NULL,
	    "", "The secret that authenticates the sequoiads to each other." },
};

#define N_KEYS (sizeof(keys) / sizeof(keys[0]))

/* The source of a value, for error messages. */
struct origin {
	const char *file; /* NULL: an option or a default */
	int line;
};

static int
set_invalid(struct err *e, const struct setting_key *k, const struct origin *o,
    const char *value, const char *expected)
{
	if (o->file == NULL)
		return err_set(e, ERR_SETTING, "--%s=%s: write %s", k->name,
		    value, expected);
	return err_set(e, ERR_SETTING, "%s:%d: [%s] %s = %s: write %s", o->file,
	    o->line, k->section, k->name, value, expected);
}

static bool
is_ip(const char *text)
{
	struct in_addr ip;

	return inet_pton(AF_INET, text, &ip) == 1;
}

static bool
is_addr(struct str s)
{
	char text[64];
	char *colon;
	uint64_t port;

	if (s.n >= sizeof(text))
		return false;
	snprintf(text, sizeof(text), "%.*s", STR_FMT(s));
	colon = strrchr(text, ':');
	if (colon == NULL)
		return false;
	*colon = '\0';
	return is_ip(text) && str_parse_u64(str_from(colon + 1), &port) &&
	    port > 0 && port < 65536;
}

static bool
are_addrs(struct str s)
{
	struct str part;

	while (str_cut(&s, ' ', &part)) {
		part = str_trim(part);
		if (part.n > 0 && !is_addr(part))
			return false;
	}
	return true;
}

static int
store_text(struct settings *s, const struct setting_key *k, const char *text,
    const struct origin *o, struct err *e)
{
	char **at = (char **)(void *)((char *)s + k->offset);
	struct str t = str_from(text);
	char expected[96];

	if (k->type == SETTING_TEXT && (t.n < k->min || t.n > k->max)) {
		snprintf(expected, sizeof(expected), "%u to %u bytes",
		    (unsigned)k->min, (unsigned)k->max);
		return set_invalid(e, k, o, text, expected);
	}
	if (k->type == SETTING_ADDR && (t.n > 0 || k->default_text == NULL) &&
	    !is_addr(t))
		return set_invalid(
		    e, k, o, text, "an IP address and port, IP:PORT");
	if (k->type == SETTING_IP && t.n > 0 && !is_ip(text))
		return set_invalid(e, k, o, text, "an IP address, or nothing");
	if (k->type == SETTING_ADDRS && !are_addrs(t))
		return set_invalid(
		    e, k, o, text, "IP:PORT separated by spaces");
	free(*at);
	*at = str_dup(t);
	return 0;
}

double
setting_scale(enum setting_type t)
{
	return t == SETTING_MILLI || t == SETTING_SEC ? 1000 : 1;
}

/* Whether the text is digits with at most one decimal point. */
static bool
is_decimal(const char *text)
{
	return *text != '\0' && strspn(text, "0123456789.") == strlen(text) &&
	    strchr(text, '.') == strrchr(text, '.') && strcmp(text, ".") != 0;
}

/* Stores a decimal number; min and max are in thousandths or milliseconds. */
static int
store_decimal(struct settings *s, const struct setting_key *k, const char *text,
    const struct origin *o, struct err *e)
{
	void *at = (char *)s + k->offset;
	double scale = setting_scale(k->type);
	double v = g_ascii_strtod(text, NULL) * scale;
	char expected[96];

	if (!is_decimal(text) || v < (double)k->min || v > (double)k->max) {
		snprintf(expected, sizeof(expected),
		    "a number from %.12g to %.12g", (double)k->min / scale,
		    (double)k->max / scale);
		return set_invalid(e, k, o, text, expected);
	}
	if (k->type == SETTING_MILLI)
		*(uint32_t *)at = (uint32_t)v;
	else
		*(usec_t *)at = (usec_t)(v * USEC_PER_MSEC);
	return 0;
}

static int
store_value(struct settings *s, const struct setting_key *k, const char *text,
    const struct origin *o, struct err *e)
{
	void *at = (char *)s + k->offset;
	char expected[96];
	uint64_t v;

	if (k->type == SETTING_MILLI || k->type == SETTING_SEC ||
	    k->type == SETTING_MSEC)
		return store_decimal(s, k, text, o, e);
	if (k->type != SETTING_U32)
		return store_text(s, k, text, o, e);
	if (!str_parse_u64(str_from(text), &v) || v < k->min || v > k->max) {
		snprintf(expected, sizeof(expected),
		    "a whole number from %llu to %llu",
		    (unsigned long long)k->min, (unsigned long long)k->max);
		return set_invalid(e, k, o, text, expected);
	}
	*(uint32_t *)at = (uint32_t)v;
	return 0;
}

static int
check_keys(const struct ini *ini, struct err *e)
{
	for (size_t i = 0; i < ini->n; i++) {
		const struct ini_entry *x = &ini->entries[i];
		bool known = false;

		for (size_t j = 0; j < N_KEYS; j++)
			known = known ||
			    (strcmp(keys[j].section, x->section) == 0 &&
				strcmp(keys[j].name, x->key) == 0);
		if (!known)
			return err_set(e, ERR_SETTING,
			    "%s:%d: [%s] %s: no such setting: see SETTINGS.md",
			    x->file, x->line, x->section, x->key);
	}
	return 0;
}

static int
read_file(struct ini *ini, const char *path, struct err *e)
{
	struct buf text = { 0 };
	int rc = ini_read_file(path, &text, e);

	if (rc == 0)
		rc = ini_add(ini, path, str_of(&text), e);
	if (rc == 0)
		rc = check_keys(ini, e);
	buf_free(&text);
	return rc;
}

int
settings_read(
    struct settings *s, const char *path, const char *const *v, struct err *e)
{
	struct ini ini = { 0 };
	int rc = path != NULL ? read_file(&ini, path, e) : 0;

	for (size_t i = 0; rc == 0 && i < N_KEYS; i++) {
		const struct setting_key *k = &keys[i];
		const struct ini_entry *x = ini_find(&ini, k->section, k->name);
		struct origin o = { NULL, 0 };
		const char *text = k->default_text;

		if (x != NULL && *x->value != '\0') {
			text = x->value;
			o = (struct origin){ x->file, x->line };
		}
		if (v != NULL && v[i] != NULL) {
			text = v[i];
			o.file = NULL;
		}
		if (text == NULL)
			rc = err_set(e, ERR_SETTING,
			    "%s: [%s] %s is not set: write %s = ... (%s)",
			    path != NULL ? path : "options", k->section,
			    k->name, k->name, k->doc);
		else
			rc = store_value(s, k, text, &o, e);
	}
	ini_free(&ini);
	return rc;
}

void
settings_free(struct settings *s)
{
	for (size_t i = 0; i < N_KEYS; i++) {
		if (keys[i].type == SETTING_TEXT ||
		    keys[i].type == SETTING_ADDR ||
		    keys[i].type == SETTING_IP || keys[i].type == SETTING_ADDRS)
			free(*(char **)(void *)((char *)s + keys[i].offset));
	}
	*s = (struct settings){ 0 };
}

const struct setting_key *
settings_keys(size_t *n)
{
	*n = N_KEYS;
	return keys;
}
