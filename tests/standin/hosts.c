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
	/* The list shows old_state before visible_at, then new_state. */
	enum host_state old_state;
	enum host_state new_state;
	usec_t visible_at;
	/* Time at which the list stopped showing the host as live. */
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
find_host(const char *address)
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
visible_state(const struct host *h)
{
	return clock_now() < h->visible_at ? h->old_state : h->new_state;
}

static void
schedule_state(struct host *h, enum host_state next)
{
	h->old_state = visible_state(h);
	h->new_state = next;
	h->visible_at = clock_now() + lag;
	if (h->old_state == HOST_LIVE)
		h->left_at = h->visible_at;
}

static struct host *
add_host(const char *service, const char *address, const char *domain)
{
	struct host *h = find_host(address);

	if (h != NULL)
		return h;
	h = g_new0(struct host, 1);
	h->service = g_strdup(service);
	h->address = g_strdup(address);
	h->domain = g_strdup(domain);
	h->new_state = HOST_GONE;
	g_ptr_array_add(hosts, h);
	return h;
}

void
hosts_add(const char *service, const char *address, const char *domain)
{
	add_host(service, address, domain)->new_state = HOST_LIVE;
}

static json_t *
json_of_list(void)
{
	json_t *list = json_array();
	unsigned i;
	SCOPED_LOCK(&lock);

	for (i = 0; i < hosts->len; i++) {
		const struct host *h = hosts->pdata[i];
		enum host_state state = visible_state(h);

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
	const char *if_none_match = mg_get_header(c, "If-None-Match");
	json_auto_t *body = json_of_list();
	char *text = json_dumps(body, JSON_COMPACT);
	uint64_t hash = hash_u64(str_from(text), 0);
	g_autofree char *etag = g_strdup_printf("\"%" PRIx64 "\"", hash);
	g_autofree char *header = g_strdup_printf("ETag: %s\r\n", etag);

	free(text);
	if (!web_is_call(ri, "GET", "/hosts"))
		web_send_error(c, 404, "no such call");
	else if (if_none_match == NULL || strcmp(if_none_match, etag) != 0)
		web_send_response(c, 200, header, json_incref(body));
	else
		mg_printf(c,
		    "HTTP/1.1 304 Not Modified\r\n%s"
		    "Content-Length: 0\r\n\r\n",
		    header);
}

bool
hosts_set_state(const struct mg_request_info *ri)
{
	static const char *const names[] = { "live", "leaving", "gone" };
	struct web_param added = web_query(ri, "add");
	struct web_param service = web_query(ri, "service");
	struct host *h = NULL;
	int state = HOST_LIVE;
	SCOPED_LOCK(&lock);

	if (added.s[0] == '\0') {
		h = find_host(web_query(ri, "address").s);
		state = web_word_index(
		    names, G_N_ELEMENTS(names), web_query(ri, "set").s);
	} else if (service.s[0] != '\0')
		h = add_host(
		    service.s, added.s, web_query(ri, "failure_domain").s);
	if (h == NULL || state < 0)
		return false;
	schedule_state(h, (enum host_state)state);
	return true;
}

usec_t
hosts_time_since_left(const char *address)
{
	const struct host *h;
	SCOPED_LOCK(&lock);

	h = find_host(address);
	if (h == NULL || visible_state(h) == HOST_LIVE)
		return 0;
	return clock_now() - h->left_at;
}
