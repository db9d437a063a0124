#include "tests/standin/hosts.h"

#include <string.h>

enum host_state {
	HOST_LIVE,
	HOST_LEAVING,
	HOST_GONE
};

struct host {
	char *service;
	char *address;
	char *domain;
	enum host_state shown;
	/* When the list stopped showing it as live. */
	usec_t left_at;
	/* The change under way. */
	enum host_state next;
	usec_t due;
};

static GMutex lock;
static GPtrArray *hosts;
static usec_t lag;
static int revision = 1;
static bool down;

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

static struct host *
add(const char *service, const char *address, const char *domain)
{
	struct host *h = find(address);

	if (h == NULL) {
		h = g_new0(struct host, 1);
		h->address = g_strdup(address);
		h->shown = HOST_GONE;
		g_ptr_array_add(hosts, h);
	}
	g_free(h->service);
	g_free(h->domain);
	h->service = g_strdup(service);
	h->domain = g_strdup(domain);
	return h;
}

void
hosts_add(const char *service, const char *address, const char *domain)
{
	struct host *h = add(service, address, domain);

	h->shown = h->next = HOST_LIVE;
}

/* Shows the changes that are past their lag. */
static void
settle(void)
{
	usec_t now = clock_now();
	unsigned i;

	for (i = 0; i < hosts->len; i++) {
		struct host *h = hosts->pdata[i];

		if (h->next == h->shown || h->due > now)
			continue;
		if (h->shown == HOST_LIVE)
			h->left_at = h->due;
		h->shown = h->next;
		revision++;
	}
}

static void
plan(struct host *h, enum host_state next)
{
	settle();
	h->next = next;
	h->due = clock_now() + lag;
}

static json_t *
json_of_list(void)
{
	json_t *list = json_array();
	unsigned i;

	for (i = 0; i < hosts->len; i++) {
		const struct host *h = hosts->pdata[i];

		if (h->shown == HOST_GONE)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s}", "service", h->service,
			"address", h->address, "failure_domain", h->domain,
			"state", h->shown == HOST_LIVE ? "live" : "leaving"));
	}
	return json_pack("{s:i,s:o}", "revision", revision, "hosts", list);
}

void
hosts_handle(struct mg_connection *c, const struct mg_request_info *ri)
{
	const char *had = mg_get_header(c, "If-None-Match");
	char tag[32];
	json_auto_t *list = NULL;
	bool off;

	if (!web_is(ri, "GET", "/hosts")) {
		web_error(c, 404, "no such call");
		return;
	}
	g_mutex_lock(&lock);
	settle();
	off = down;
	snprintf(tag, sizeof(tag), "\"%d\"", revision);
	list = json_of_list();
	g_mutex_unlock(&lock);
	if (off)
		web_error(c, 503, "down");
	else if (had != NULL && strcmp(had, tag) == 0)
		mg_printf(c,
		    "HTTP/1.1 304 Not Modified\r\nETag: %s\r\n"
		    "Content-Length: 0\r\n\r\n",
		    tag);
	else
		web_tagged(c, tag, json_incref(list));
}

static bool
change_state(const char *set, const char *address)
{
	static const char *const names[] = { "live", "leaving", "gone" };
	struct host *h = find(address);
	int state = web_index(names, G_N_ELEMENTS(names), set);

	if (h == NULL || state < 0)
		return false;
	plan(h, (enum host_state)state);
	return true;
}

bool
hosts_change(const struct mg_request_info *ri)
{
	char set[16], address[64], new[64], service[64], domain[64], mode[16];
	HOLD(&lock);

	web_query(ri, "set", set, sizeof(set));
	web_query(ri, "address", address, sizeof(address));
	web_query(ri, "add", new, sizeof(new));
	web_query(ri, "service", service, sizeof(service));
	web_query(ri, "failure_domain", domain, sizeof(domain));
	web_query(ri, "mode", mode, sizeof(mode));
	if (mode[0] != '\0')
		down = strcmp(mode, "down") == 0;
	else if (new[0] != '\0' && service[0] != '\0')
		plan(add(service, new, domain), HOST_LIVE);
	else
		return change_state(set, address);
	return true;
}

usec_t
hosts_left_for(const char *address)
{
	const struct host *h;
	HOLD(&lock);

	settle();
	h = find(address);
	if (h == NULL || h->shown == HOST_LIVE)
		return 0;
	return clock_now() - h->left_at;
}
