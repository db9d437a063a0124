#include "tests/standin/admin.h"

#include <glib.h>

#include "tests/standin/engine.h"
#include "tests/standin/hosts.h"
#include "tests/standin/kv.h"
#include "tests/standin/plain.h"
#include "tests/standin/target.h"

struct setter {
	const char *path;
	bool (*set)(const struct mg_request_info *ri);
};

struct getter {
	const char *path;
	json_t *(*get)(void);
};

static bool
reset(const struct mg_request_info *ri)
{
	(void)ri;
	kv_reset();
	target_reset();
	plain_reset();
	engine_reset();
	return true;
}

static const struct setter setters[] = {
	{ "/kv", kv_set_fault },
	{ "/hosts", hosts_change },
	{ "/target", target_set_fault },
	{ "/reset", reset },
};

static const struct getter getters[] = {
	{ "/kv", kv_counters },
	{ "/targets", target_counters },
	{ "/seen", target_seen },
	{ "/orders", engine_orders },
};

static bool
set(struct mg_connection *c, const struct mg_request_info *ri)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(setters); i++) {
		if (!web_is(ri, "POST", setters[i].path))
			continue;
		if (setters[i].set(ri))
			web_json(c, 200, json_object());
		else
			web_error(c, 400, "not understood");
		return true;
	}
	return false;
}

static bool
get(struct mg_connection *c, const struct mg_request_info *ri)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(getters); i++)
		if (web_is(ri, "GET", getters[i].path)) {
			web_json(c, 200, getters[i].get());
			return true;
		}
	return false;
}

void
admin_handle(struct mg_connection *c, const struct mg_request_info *ri)
{
	char service[64];

	if (set(c, ri) || get(c, ri))
		return;
	if (!web_is(ri, "GET", "/effects")) {
		web_error(c, 404, "no such call");
		return;
	}
	web_query(ri, "service", service, sizeof(service));
	web_json(c, 200, plain_effects(service));
}
