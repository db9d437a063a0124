#include "entry/control.h"
#include "base/log.h"
#include "plat/hosts.h"
#include "plat/kv.h"

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <urcu/urcu-memb.h>

#define CONF_KEY       STR("sequoia/config/head")
#define HOSTS_INTERVAL (1 * USEC_PER_SEC)
#define HOSTS_TIMEOUT  (2 * USEC_PER_SEC)
#define KV_INTERVAL    (1 * USEC_PER_SEC)
#define MAX_WAIT       (100 * USEC_PER_MSEC)

struct control {
	struct control_opts o;
	struct traffic *traffic;
	pthread_t thread;
	struct http_loop *loop;
	struct kv *kv;
	struct hosts *hosts;
	struct conf *conf;
	atomic_bool stopping;
	usec_t hosts_at;
	usec_t conf_at;
};

static void
put_in_force(struct control *c, struct conf *conf)
{
	struct buf n = { 0 };

	conf_unref(c->conf);
	c->conf = conf;
	snaps_publish(c->o.snaps, &(struct snap){ .conf = conf });
	traffic_conf(c->traffic, conf);
	buf_printf(&n, "%llu", (unsigned long long)conf->generation);
	LOG(LOG_LVL_NOTICE, "config-in-force", { "generation", str_of(&n) });
	buf_free(&n);
}

static void
take_conf(struct control *c, struct str text)
{
	json_t *o = json_loadb(text.p, text.n, 0, NULL);
	uint64_t gen =
	    (uint64_t)json_integer_value(json_object_get(o, "generation"));
	struct ini set = { 0 };
	struct err e = { 0 };
	struct conf *conf = NULL;
	const char *name;
	json_t *body;

	if (c->conf != NULL && gen <= c->conf->generation)
		goto out;
	json_object_foreach(json_object_get(o, "files"), name, body)
	{
		if (ini_add(&set, name,
			(struct str){
			    json_string_value(body), json_string_length(body) },
			&e) != 0)
			goto out;
	}
	conf = conf_read(&set, gen, &e);
	if (conf != NULL)
		put_in_force(c, conf);
out:
	if (e.kind != ERR_OK)
		LOG(LOG_LVL_ERR, "config-refused",
		    { "detail", str_from(e.text) });
	ini_free(&set);
	json_decref(o);
}

static void
on_conf(void *arg, const struct kv_result *r)
{
	struct control *c = arg;

	if (r->status == KV_OK && r->found)
		take_conf(c, r->value);
}

static void
on_hosts(void *arg, const struct listed_target *v, size_t n)
{
	struct control *c = arg;

	traffic_targets(c->traffic, v, n);
}

static void *
run(void *arg)
{
	struct control *c = arg;

	urcu_memb_register_thread();
	while (!atomic_load(&c->stopping)) {
		usec_t now = clock_now();

		if (now - c->hosts_at >= HOSTS_INTERVAL) {
			c->hosts_at = now;
			hosts_read(c->hosts);
		}
		if (now - c->conf_at >= KV_INTERVAL) {
			c->conf_at = now;
			kv_get(c->kv, CONF_KEY, on_conf, c);
		}
		http_run(c->loop, MAX_WAIT);
	}
	urcu_memb_unregister_thread();
	return NULL;
}

static struct kv *
open_kv(struct control *c, const struct settings *s)
{
	const char *endpoints[8];
	char *copies[8] = { NULL };
	size_t n = 0;
	struct str rest = str_from(s->kv);
	struct str part;
	struct kv *kv;

	while (n < 8 && str_cut(&rest, ' ', &part)) {
		if (part.n == 0)
			continue;
		copies[n] = str_dup(part);
		endpoints[n] = copies[n];
		n++;
	}
	kv = kv_new(&(struct kv_opts){
	    .loop = c->loop,
	    .endpoints = endpoints,
	    .n_endpoints = n,
	    .timeout = s->kv_timeout,
	});
	while (n > 0)
		free(copies[--n]);
	return kv;
}

struct control *
control_new(const struct control_opts *o)
{
	struct control *c = xcalloc(1, sizeof(*c));

	c->o = *o;
	c->loop = http_new();
	c->kv = open_kv(c, o->settings);
	c->hosts = hosts_new(&(struct hosts_opts){
	    .loop = c->loop,
	    .addr = o->settings->hosts,
	    .timeout = HOSTS_TIMEOUT,
	    .changed = on_hosts,
	    .arg = c,
	});
	return c;
}

void
control_start(struct control *c, struct traffic *t)
{
	c->traffic = t;
	pthread_create(&c->thread, NULL, run, c);
}

void
control_claim(void *arg, enum action_kind kind, const struct action_claim *a)
{
	struct control *c = arg;

	if (kind != ACTION_SETTLE)
		traffic_claimed(c->traffic,
		    &(struct event_claim){
			.req = a->req, .result = CLAIM_UNAVAILABLE });
}

void
control_stop(struct control *c)
{
	atomic_store(&c->stopping, true);
	http_wake(c->loop);
	pthread_join(c->thread, NULL);
}

void
control_free(struct control *c)
{
	hosts_free(c->hosts);
	kv_free(c->kv);
	http_free(c->loop);
	conf_unref(c->conf);
	free(c);
}
