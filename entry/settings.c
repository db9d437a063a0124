#include "entry/settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AT(field) offsetof(struct settings, field)

static const struct setting_key keys[] = {
	{ "sequoiad", "id", SETTING_TEXT, AT(id), 1, 48, NULL, "",
	    "Its name, unique in the fleet and kept over restarts." },
	{ "sequoiad", "listen", SETTING_ADDR, AT(listen), 0, 0, NULL, "IP:PORT",
	    "Where callers reach it." },
	{ "sequoiad", "operators", SETTING_ADDR, AT(operators), 0, 0, NULL,
	    "IP:PORT", "Where operators reach it." },
	{ "sequoiad", "rpc", SETTING_ADDR, AT(rpc), 0, 0, NULL, "IP:PORT",
	    "Where other sequoiads reach it (UDP and TCP)." },
	{ "sequoiad", "failure_domain", SETTING_TEXT, AT(failure_domain), 1, 48,
	    NULL, "", "The failure domain of its host." },
	{ "sequoiad", "cpu_share", SETTING_MILLI, AT(cpu_share), 1, 64000,
	    "1.0", "cores", "Its part of a core: homes go to larger hosts." },
	{ "sequoiad", "link_mbps", SETTING_MILLI, AT(link_mbps), 1, 1000000000,
	    "1000", "Mbit/s", "Its link to the network." },
	{ "sequoiad", "peers", SETTING_ADDRS, AT(peers), 0, 0, "",
	    "IP:PORT ...", "RPC addresses of some other sequoiads." },
	{ "sequoiad", "workers", SETTING_U32, AT(workers), 1, 4000, "256",
	    "threads", "Callers that it serves at once." },
	{ "sequoiad", "max_body_bytes", SETTING_U32, AT(max_body), 1, 1048576,
	    "1048576", "bytes", "The largest body that it takes." },
	{ "sequoiad", "body_timeout_ms", SETTING_MSEC, AT(body_timeout), 100,
	    60000, "5000", "ms", "Time in which a whole body must come." },
	{ "sequoiad", "drain_ms", SETTING_MSEC, AT(drain), 0, 600000, "2000",
	    "ms", "Time after SIGTERM until it takes nothing new." },
	{ "sequoiad", "keep_ms", SETTING_MSEC, AT(keep), 0, 3600000, "60000",
	    "ms", "How long an ended request can be asked for." },
	{ "sequoiad", "keep_bytes", SETTING_U32, AT(keep_bytes), 0, 1073741824,
	    "33554432", "bytes", "Memory for ended requests." },
	{ "sequoiad", "log_level", SETTING_U32, AT(log_level), 3, 7, "6", "",
	    "The least urgent syslog level that is written." },
	{ "sequoiad", "grace_ms", SETTING_MSEC, AT(grace), 0, 600000, "7500",
	    "ms", "Time after SIGTERM until it ends; with form = routes." },
	{ "platform", "form", SETTING_TEXT, AT(form), 1, 16, "etcd", "",
	    "What the platform speaks: etcd (pipelines), or routes." },
	{ "platform", "kv", SETTING_ADDRS, AT(kv), 0, 0, NULL, "IP:PORT ...",
	    "The key-value service's endpoints." },
	{ "platform", "kv_timeout_ms", SETTING_MSEC, AT(kv_timeout), 50, 60000,
	    "1000", "ms", "Time that one call of it may take." },
	{ "platform", "kv_source", SETTING_IP, AT(kv_source), 0, 0, "", "IP",
	    "The own address that calls to it leave from." },
	{ "platform", "hosts", SETTING_ADDR, AT(hosts), 0, 0, "", "IP:PORT",
	    "The host list; empty if there is none." },
	{ "routes", "retry_percent", SETTING_U32, AT(retry_percent), 0, 100,
	    "20", "%", "Calls that may be repeated, of a service's requests." },
	{ "routes", "retry_slack", SETTING_U32, AT(retry_slack), 0, 1000000,
	    "50", "calls", "Beside these in a window, of the whole fleet." },
	{ "routes", "retry_window_ms", SETTING_MSEC, AT(retry_window), 1000,
	    600000, "10000", "ms", "The window of both." },
	{ "fleet", "fleet_key", SETTING_TEXT, AT(fleet_key), 16, 256, NULL, "",
	    "The secret that authenticates the sequoiads to each other." },
};

#define N_KEYS (sizeof(keys) / sizeof(keys[0]))

/* Where a value came from, for error messages. */
struct origin {
	const char *file; /* NULL: an option or a default */
	int line;
};

static int
fault(struct err *e, const struct setting_key *k, const struct origin *o,
    const char *found, const char *want)
{
	if (o->file == NULL)
		return err_set(
		    e, ERR_SETTING, "--%s=%s: write %s", k->name, found, want);
	return err_set(e, ERR_SETTING, "%s:%d: [%s] %s = %s: write %s", o->file,
	    o->line, k->section, k->name, found, want);
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
	return is_ip(text) && str_parse_u64(str_from(colon + 1), &port) && port > 0 &&
	    port < 65536;
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
	char want[96];

	if (k->type == SETTING_TEXT && (t.n < k->min || t.n > k->max)) {
		snprintf(want, sizeof(want), "%u to %u bytes", (unsigned)k->min,
		    (unsigned)k->max);
		return fault(e, k, o, text, want);
	}
	if (k->type == SETTING_ADDR && (t.n > 0 || k->default_text == NULL) &&
	    !is_addr(t))
		return fault(e, k, o, text, "an IP number and port, IP:PORT");
	if (k->type == SETTING_IP && t.n > 0 && !is_ip(text))
		return fault(e, k, o, text, "an IP number, or nothing");
	if (k->type == SETTING_ADDRS && !are_addrs(t))
		return fault(e, k, o, text, "IP:PORT separated by blanks");
	free(*at);
	*at = str_dup(t);
	return 0;
}

static int
store_milli(struct settings *s, const struct setting_key *k, const char *text,
    const struct origin *o, struct err *e)
{
	char *end;
	double v = g_ascii_strtod(text, &end) * 1000;
	char want[96];

	if (*end != '\0' || end == text || !(v >= (double)k->min) ||
	    v > (double)k->max) {
		snprintf(want, sizeof(want), "a number from %g to %g",
		    (double)k->min / 1000, (double)k->max / 1000);
		return fault(e, k, o, text, want);
	}
	*(uint32_t *)(void *)((char *)s + k->offset) = (uint32_t)v;
	return 0;
}

static int
store(struct settings *s, const struct setting_key *k, const char *text,
    const struct origin *o, struct err *e)
{
	void *at = (char *)s + k->offset;
	char want[96];
	uint64_t v;

	if (k->type == SETTING_MILLI)
		return store_milli(s, k, text, o, e);
	if (k->type != SETTING_U32 && k->type != SETTING_MSEC)
		return store_text(s, k, text, o, e);
	if (!str_parse_u64(str_from(text), &v) || v < k->min || v > k->max) {
		snprintf(want, sizeof(want), "a whole number from %llu to %llu",
		    (unsigned long long)k->min, (unsigned long long)k->max);
		return fault(e, k, o, text, want);
	}
	if (k->type == SETTING_U32)
		*(uint32_t *)at = (uint32_t)v;
	else
		*(usec_t *)at = (usec_t)v * USEC_PER_MSEC;
	return 0;
}

static int
check_known(const struct ini *set, struct err *e)
{
	for (size_t i = 0; i < set->n; i++) {
		const struct ini_entry *x = &set->entries[i];
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
read_file(struct ini *set, const char *path, struct err *e)
{
	struct buf text = { 0 };
	int rc = ini_read_file(path, &text, e);

	if (rc == 0)
		rc = ini_add(set, path, str_of(&text), e);
	if (rc == 0)
		rc = check_known(set, e);
	buf_free(&text);
	return rc;
}

int
settings_read(
    struct settings *s, const char *path, const char *const *v, struct err *e)
{
	struct ini set = { 0 };
	int rc = path != NULL ? read_file(&set, path, e) : 0;

	for (size_t i = 0; rc == 0 && i < N_KEYS; i++) {
		const struct setting_key *k = &keys[i];
		const struct ini_entry *x = ini_find(&set, k->section, k->name);
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
			rc = store(s, k, text, &o, e);
	}
	ini_free(&set);
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
