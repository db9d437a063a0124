#include "tests/standin/platform.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

enum host_state {
	HOST_LIVE,
	HOST_LEAVING,
	HOST_GONE
};

struct host {
	char *service;
	char *address;
	char *domain;
	/* The state shown until the time of the last change, and after it. */
	enum host_state before;
	enum host_state after;
	usec_t due;
	/* When the list stopped showing it as live. */
	usec_t left_at;
};

static GMutex lock;
static GPtrArray *hosts;
static usec_t lag;

void
hosts_init(usec_t hosts_lag)
{
	lag = hosts_lag;
	hosts = g_ptr_array_new();
}

static struct host *
find(const char *address)
{
	unsigned i;

	for (i = 0; i < hosts->len; i++) {
		struct host *h = hosts->pdata[i];

		if (strcmp(h->address, address) == 0)
			return h;
	}
	return NULL;
}

static enum host_state
shown(const struct host *h)
{
	return clock_now() < h->due ? h->before : h->after;
}

static void
plan(struct host *h, enum host_state next)
{
	h->before = shown(h);
	h->after = next;
	h->due = clock_now() + lag;
	if (h->before == HOST_LIVE)
		h->left_at = h->due;
}

static struct host *
add(const char *service, const char *address, const char *domain)
{
	struct host *h = find(address);

	if (h != NULL)
		return h;
	h = g_new0(struct host, 1);
	h->service = g_strdup(service);
	h->address = g_strdup(address);
	h->domain = g_strdup(domain);
	h->after = HOST_GONE;
	g_ptr_array_add(hosts, h);
	return h;
}

void
hosts_add(const char *service, const char *address, const char *domain)
{
	add(service, address, domain)->after = HOST_LIVE;
}

static json_t *
json_of_list(void)
{
	json_t *list = json_array();
	unsigned i;
	HOLD(&lock);

	for (i = 0; i < hosts->len; i++) {
		const struct host *h = hosts->pdata[i];
		enum host_state state = shown(h);

		if (state == HOST_GONE)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s}", "service", h->service,
			"address", h->address, "failure_domain", h->domain,
			"state", state == HOST_LIVE ? "live" : "leaving"));
	}
	return json_pack("{s:o}", "hosts", list);
}

void
hosts_handle(struct mg_connection *c, const struct mg_request_info *ri)
{
	const char *had = mg_get_header(c, "If-None-Match");
	json_auto_t *list = json_of_list();
	char *text = json_dumps(list, JSON_COMPACT);
	uint64_t hash = hash_u64(str_from(text), 0);
	g_autofree char *tag = g_strdup_printf("\"%" PRIx64 "\"", hash);
	g_autofree char *header = g_strdup_printf("ETag: %s\r\n", tag);

	free(text);
	if (!web_is(ri, "GET", "/hosts"))
		web_error(c, 404, "no such call");
	else if (had == NULL || strcmp(had, tag) != 0)
		web_send(c, 200, header, json_incref(list));
	else
		mg_printf(c,
		    "HTTP/1.1 304 Not Modified\r\n%s"
		    "Content-Length: 0\r\n\r\n",
		    header);
}

bool
hosts_change(const struct mg_request_info *ri)
{
	static const char *const names[] = { "live", "leaving", "gone" };
	struct web_word new = web_query(ri, "add");
	struct web_word service = web_query(ri, "service");
	struct host *h = NULL;
	int state = HOST_LIVE;
	HOLD(&lock);

	if (new.s[0] == '\0') {
		h = find(web_query(ri, "address").s);
		state = web_index(
		    names, G_N_ELEMENTS(names), web_query(ri, "set").s);
	} else if (service.s[0] != '\0')
		h = add(service.s, new.s, web_query(ri, "failure_domain").s);
	if (h == NULL || state < 0)
		return false;
	plan(h, (enum host_state)state);
	return true;
}

usec_t
hosts_left_for(const char *address)
{
	const struct host *h;
	HOLD(&lock);

	h = find(address);
	if (h == NULL || shown(h) == HOST_LIVE)
		return 0;
	return clock_now() - h->left_at;
}
