#include "ctl/session.h"
#include "base/rng.h"
#include "plat/http.h"

#include <stdlib.h>
#include <string.h>

#define LOOP_STEP     (5 * USEC_PER_MSEC)
#define KV_TIMEOUT    (2 * USEC_PER_SEC)
#define READ_TIMEOUT  (10 * USEC_PER_SEC)
#define BODY_ATTEMPTS 5 /* repeating is safe: bodies are stored by hash */
#define MAX_ENDPOINTS 8

static void
on_changed(void *arg)
{
	(void)arg;
}

static void
on_done(void *arg, const struct alog_completion *d)
{
	struct session *s = arg;

	s->append_done = true;
	s->completion = *d;
}

static void
on_rejected(void *arg, const struct err *e)
{
	struct session *s = arg;

	s->rejected = *e;
}

static void
on_kv(void *arg, const struct kv_result *r)
{
	struct session *s = arg;

	s->kv_done = true;
	s->kv_status = r->status;
	s->found = r->found;
	buf_clear(&s->value);
	buf_put(&s->value, r->value);
}

static struct kv *
open_kv(struct http_loop *loop, const char *text)
{
	const char *endpoints[MAX_ENDPOINTS];
	struct str rest = str_from(text);
	struct str part;
	size_t n = 0;
	struct kv *kv;

	while (n < MAX_ENDPOINTS && str_cut(&rest, ' ', &part)) {
		if (part.n > 0)
			endpoints[n++] = str_dup(part);
	}
	kv = kv_new(&(struct kv_opts){
	    .loop = loop,
	    .endpoints = endpoints,
	    .n_endpoints = n,
	    .timeout = KV_TIMEOUT,
	});
	while (n > 0)
		free((char *)endpoints[--n]);
	return kv;
}

static void
run_step(struct session *s)
{
	conflog_tick(s->log, http_run(s->loop, LOOP_STEP));
}

static bool
is_synced(const struct session *s)
{
	return conflog_ready(s->log) &&
	    confstate_missing_body(conflog_state(s->log)) == NULL;
}

int
session_open(struct session *s, const struct session_opts *o, struct err *e)
{
	usec_t until = clock_now() + READ_TIMEOUT;

	memset(s, 0, sizeof(*s));
	s->loop = http_new();
	s->kv = open_kv(s->loop, o->kv);
	s->log = conflog_new(&(struct conflog_opts){
	    .kv = s->kv,
	    .incarnation = rng_entropy(),
	    .changed = on_changed,
	    .done = on_done,
	    .rejected = on_rejected,
	    .record = o->record,
	    .record_arg = o->arg,
	    .arg = s,
	});
	while (!is_synced(s) && conflog_error(s->log) == NULL &&
	    clock_now() < until)
		run_step(s);
	if (conflog_error(s->log) != NULL) {
		*e = *conflog_error(s->log);
		return EXIT_REFUSED;
	}
	if (s->rejected.kind != ERR_OK) {
		*e = s->rejected;
		return EXIT_REFUSED;
	}
	if (is_synced(s))
		return EXIT_DONE;
	err_set(e, ERR_KV,
	    "%s: the key-value service does not answer: check the address "
	    "(--kv) and the service",
	    o->kv);
	return EXIT_UNREACHABLE;
}

bool
session_sync(struct session *s)
{
	usec_t until = clock_now() + READ_TIMEOUT;

	while (!is_synced(s) && clock_now() < until)
		run_step(s);
	return is_synced(s);
}

bool
session_wait(struct session *s, const bool *flag, usec_t timeout)
{
	usec_t until = clock_now() + timeout;

	while (!*flag && clock_now() < until)
		run_step(s);
	return *flag;
}

bool
session_put_body(struct session *s, const struct conffile *x)
{
	for (int i = 0; i < BODY_ATTEMPTS; i++) {
		s->kv_done = false;
		conflog_put_body(s->log, x, on_kv, s);
		session_wait(s, &s->kv_done, 2 * KV_TIMEOUT);
		if (s->kv_done && s->kv_status == KV_OK)
			return true;
	}
	return false;
}

bool
session_get_body(struct session *s, const char *hash, struct buf *out)
{
	for (int i = 0; i < BODY_ATTEMPTS; i++) {
		s->kv_done = false;
		conflog_get_body(s->log, hash, on_kv, s);
		session_wait(s, &s->kv_done, 2 * KV_TIMEOUT);
		if (!s->kv_done || s->kv_status != KV_OK || !s->found)
			continue;
		buf_put(out, str_of(&s->value));
		return true;
	}
	return false;
}

void
session_close(struct session *s)
{
	kv_free(s->kv);
	conflog_free(s->log);
	http_free(s->loop);
	buf_free(&s->value);
}
