#include "plat/hosts.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Several times the list of a fleet of the size in docs/CAPACITY.md. */
#define MAX_LIST_BYTES ((size_t)16 * 1024 * 1024)

struct hosts {
	struct hosts_opts o;
	char *url;
	uint64_t call; /* id of the call in flight; 0: none */
	int status;    /* HTTP status of its response */
	struct buf body;
	/* If-None-Match fields of the last list and of the one in flight. */
	struct buf etag;
	struct buf new_etag;
	char digest[HASH_HEX_LEN + 1]; /* SHA-256 of the last list delivered */
};

static void
copy_string(char *out, size_t cap, const json_t *o, const char *key)
{
	const char *text = json_string_value(json_object_get(o, key));

	snprintf(out, cap, "%s", text != NULL ? text : "");
}

static enum target_state
read_target_state(const json_t *o)
{
	const char *text = json_string_value(json_object_get(o, "state"));

	if (text != NULL && strcmp(text, "leaving") == 0)
		return TARGET_LEAVING;
	return TARGET_LIVE;
}

static void
deliver_list(struct hosts *h, const json_t *list)
{
	size_t n = json_array_size(list);
	struct listed_target *v = xcalloc(n, sizeof(*v));

	for (size_t i = 0; i < n; i++) {
		const json_t *x = json_array_get(list, i);

		copy_string(v[i].service, sizeof(v[i].service), x, "service");
		copy_string(v[i].addr, sizeof(v[i].addr), x, "address");
		copy_string(
		    v[i].domain, sizeof(v[i].domain), x, "failure_domain");
		v[i].state = read_target_state(x);
	}
	h->o.changed(h->o.arg, v, n);
	free(v);
}

static void
process_body(struct hosts *h)
{
	char digest[HASH_HEX_LEN + 1];
	json_t *o;
	const json_t *list;

	hash_sha256(str_of(&h->body), digest);
	if (hash_equal(digest, h->digest))
		return;
	o = json_loadb(h->body.p, h->body.n, 0, NULL);
	list = json_object_get(o, "hosts");
	if (json_is_array(list)) {
		buf_clear(&h->etag);
		buf_put(&h->etag, str_of(&h->new_etag));
		memcpy(h->digest, digest, sizeof(digest));
		deliver_list(h, list);
	}
	json_decref(o);
}

static void
on_http(void *arg, const struct http_event *ev)
{
	struct hosts *h = arg;

	switch (ev->kind) {
	case HTTP_HEAD:
		h->status = ev->status;
		buf_clear(&h->new_etag);
		if (ev->etag != NULL)
			buf_printf(&h->new_etag, "If-None-Match: %s", ev->etag);
		return;
	case HTTP_CHUNK:
		buf_put(&h->body, ev->bytes);
		return;
	case HTTP_WAIT:
		return;
	case HTTP_END:
		if (h->status == 200 && h->body.n > 0)
			process_body(h);
		break;
	case HTTP_FAIL:
		break;
	}
	h->call = 0;
}

struct hosts *
hosts_new(const struct hosts_opts *o)
{
	struct hosts *h = xcalloc(1, sizeof(*h));
	struct buf url = { 0 };

	h->o = *o;
	if (*o->addr != '\0') {
		buf_printf(&url, "http://%s/hosts", o->addr);
		h->url = url.p;
	}
	memset(h->digest, '0', HASH_HEX_LEN);
	return h;
}

void
hosts_poll(struct hosts *h)
{
	const char *headers[] = { NULL, NULL };

	if (h->url == NULL || h->call != 0)
		return;
	h->status = 0;
	if (h->etag.n > 0)
		headers[0] = h->etag.p;
	buf_clear(&h->body);
	h->call = http_start(h->o.loop,
	    &(struct http_opts){
		.url = h->url,
		.headers = headers,
		.timeout = h->o.timeout,
		.max_bytes = MAX_LIST_BYTES,
		.memory = h->o.memory,
		.use = MEMORY_STORE,
		.handler = on_http,
		.arg = h,
	    });
}

void
hosts_free(struct hosts *h)
{
	if (h->call != 0)
		http_cancel(h->o.loop, h->call);
	buf_free(&h->body);
	buf_free(&h->etag);
	buf_free(&h->new_etag);
	free(h->url);
	free(h);
}
