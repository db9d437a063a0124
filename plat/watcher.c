#include "plat/watcher.h"
#include "base/rng.h"

#include <stdlib.h>

/* The first pause is some answers of a sound service long (4 ms each). */
#define PAUSE_MIN     (100 * USEC_PER_MSEC)
/* Half a second keeps a return noticed well within two. */
#define PAUSE_MAX     (500 * USEC_PER_MSEC)
/* A refused host waits longer: its calls are counted all the same. */
#define PAUSE_REFUSED (400 * USEC_PER_MSEC)
#define NEVER         (3600 * USEC_PER_SEC)

struct watcher {
	struct watcher_opts o;
	struct rng rng;
	bool synced;    /* the whole prefix is known up to revision */
	bool listing;   /* a whole reading is under way */
	bool in_flight; /* a call is under way */
	bool unavailable;
	int64_t revision;
	int64_t list_revision; /* of the reading's first page */
	struct buf last_key;   /* last key of the reading so far */
	usec_t backoff;
	usec_t next_at;
};

struct watcher *
watcher_new(const struct watcher_opts *o)
{
	struct watcher *f = xcalloc(1, sizeof(*f));

	f->o = *o;
	rng_init(&f->rng, o->seed);
	return f;
}

static void
tell(struct watcher *f, enum watcher_event ev)
{
	f->o.handler(f->o.arg, ev, STR(""), STR(""));
}

/* A pause with jitter, so that hosts do not call in step. */
static void
failed(struct watcher *f, enum kv_status st)
{
	usec_t least = st == KV_REFUSED ? PAUSE_REFUSED : PAUSE_MIN;

	f->backoff = f->backoff == 0 ? least : 2 * f->backoff;
	if (f->backoff > PAUSE_MAX)
		f->backoff = PAUSE_MAX;
	f->next_at = clock_now() + f->backoff / 2 +
	    (usec_t)rng_below(&f->rng, (uint64_t)f->backoff);
	if (!f->unavailable) {
		f->unavailable = true;
		tell(f, WATCHER_UNAVAILABLE);
	}
}

static void
answered(struct watcher *f)
{
	f->backoff = 0;
	f->next_at = 0;
	if (!f->unavailable)
		return;
	f->unavailable = false;
	tell(f, WATCHER_AVAILABLE);
}

static void
hand_on(struct watcher *f, const struct kv_changes *c)
{
	for (size_t i = 0; i < c->n; i++)
		f->o.handler(f->o.arg,
		    c->v[i].deleted ? WATCHER_DELETE : WATCHER_PUT,
		    str_of(&c->v[i].key), str_of(&c->v[i].value));
}

static void
on_page(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct watcher *f = arg;

	f->in_flight = false;
	if (st != KV_OK) {
		f->listing = false;
		failed(f, st);
		return;
	}
	answered(f);
	if (f->last_key.n == 0) {
		/* Pages are no snapshot: changes since the first are read. */
		f->list_revision = c->as_of;
		tell(f, WATCHER_LIST_BEGIN);
	}
	hand_on(f, c);
	if (c->more && c->n > 0) {
		buf_clear(&f->last_key);
		buf_put(&f->last_key, str_of(&c->v[c->n - 1].key));
		return;
	}
	f->listing = false;
	f->synced = true;
	f->revision = f->list_revision;
	tell(f, WATCHER_LIST_END);
}

static void
on_wait(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct watcher *f = arg;

	f->in_flight = false;
	switch (st) {
	case KV_OK:
		answered(f);
		hand_on(f, c);
		if (f->o.batch != NULL)
			f->o.batch(f->o.arg, f->revision, c);
		if (c->as_of > f->revision)
			f->revision = c->as_of;
		break;
	case KV_NO_HISTORY:
		answered(f);
		f->synced = false;
		break;
	case KV_CONFLICT:
	case KV_REFUSED:
	case KV_UNKNOWN:
		failed(f, st);
		break;
	}
}

usec_t
watcher_tick(struct watcher *f, usec_t now)
{
	if (f->in_flight)
		return now + NEVER;
	if (now < f->next_at)
		return f->next_at;
	f->in_flight = true;
	if (f->synced) {
		kv_poll(f->o.kv, f->o.prefix, f->revision,
		    f->unavailable ? 0 : f->o.poll_timeout, on_wait, f);
		return now + NEVER;
	}
	if (!f->listing) {
		f->listing = true;
		buf_clear(&f->last_key);
	}
	kv_range(f->o.kv, f->o.prefix, str_of(&f->last_key), on_page, f);
	return now + NEVER;
}

int64_t
watcher_revision(const struct watcher *f)
{
	return f->synced ? f->revision : 0;
}

void
watcher_set_revision(struct watcher *f, int64_t revision)
{
	if (revision > f->revision)
		f->revision = revision;
	f->synced = true;
}

void
watcher_free(struct watcher *f)
{
	buf_free(&f->last_key);
	free(f);
}
