#include "plat/follow.h"
#include "base/rng.h"

#include <stdlib.h>

/* The first pause is some answers of a sound service long (4 ms each). */
#define PAUSE_MIN     (100 * USEC_PER_MSEC)
/* Half a second keeps a return noticed well within two. */
#define PAUSE_MAX     (500 * USEC_PER_MSEC)
/* A refused host waits longer: its calls are counted all the same. */
#define PAUSE_REFUSED (400 * USEC_PER_MSEC)
#define NEVER         (3600 * USEC_PER_SEC)

struct follow {
	struct follow_opts o;
	struct rng rng;
	bool whole;   /* the whole prefix is known up to revision */
	bool reading; /* a whole reading is under way */
	bool busy;    /* a call is under way */
	bool away;
	int64_t revision;
	int64_t read_as_of; /* of the reading's first page */
	struct buf after;   /* last key of the reading so far */
	usec_t pause;
	usec_t due;
};

struct follow *
follow_new(const struct follow_opts *o)
{
	struct follow *f = xcalloc(1, sizeof(*f));

	f->o = *o;
	rng_init(&f->rng, o->seed);
	return f;
}

static void
tell(struct follow *f, enum follow_event ev)
{
	f->o.handler(f->o.arg, ev, STR(""), STR(""));
}

/* A pause with jitter, so that hosts do not call in step. */
static void
failed(struct follow *f, enum kv_status st)
{
	usec_t least = st == KV_REFUSED ? PAUSE_REFUSED : PAUSE_MIN;

	f->pause = f->pause == 0 ? least : 2 * f->pause;
	if (f->pause > PAUSE_MAX)
		f->pause = PAUSE_MAX;
	f->due = clock_now() + f->pause / 2 +
	    (usec_t)rng_below(&f->rng, (uint64_t)f->pause);
	if (!f->away) {
		f->away = true;
		tell(f, FOLLOW_AWAY);
	}
}

static void
answered(struct follow *f)
{
	f->pause = 0;
	f->due = 0;
	if (!f->away)
		return;
	f->away = false;
	tell(f, FOLLOW_BACK);
}

static void
hand_on(struct follow *f, const struct kv_changes *c)
{
	for (size_t i = 0; i < c->n; i++)
		f->o.handler(f->o.arg,
		    c->v[i].deleted ? FOLLOW_GONE : FOLLOW_PUT,
		    str_of(&c->v[i].key), str_of(&c->v[i].value));
}

static void
on_page(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct follow *f = arg;

	f->busy = false;
	if (st != KV_OK) {
		f->reading = false;
		failed(f, st);
		return;
	}
	answered(f);
	if (f->after.n == 0) {
		/* Pages are no snapshot: changes since the first are read. */
		f->read_as_of = c->as_of;
		tell(f, FOLLOW_BEGIN);
	}
	hand_on(f, c);
	if (c->more && c->n > 0) {
		buf_clear(&f->after);
		buf_put(&f->after, str_of(&c->v[c->n - 1].key));
		return;
	}
	f->reading = false;
	f->whole = true;
	f->revision = f->read_as_of;
	tell(f, FOLLOW_FINISH);
}

static void
on_wait(void *arg, enum kv_status st, const struct kv_changes *c)
{
	struct follow *f = arg;

	f->busy = false;
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
		f->whole = false;
		break;
	case KV_CONFLICT:
	case KV_REFUSED:
	case KV_UNKNOWN:
		failed(f, st);
		break;
	}
}

usec_t
follow_tick(struct follow *f, usec_t now)
{
	if (f->busy)
		return now + NEVER;
	if (now < f->due)
		return f->due;
	f->busy = true;
	if (f->whole) {
		kv_wait(f->o.kv, f->o.prefix, f->revision,
		    f->away ? 0 : f->o.wait, on_wait, f);
		return now + NEVER;
	}
	if (!f->reading) {
		f->reading = true;
		buf_clear(&f->after);
	}
	kv_range(f->o.kv, f->o.prefix, str_of(&f->after), on_page, f);
	return now + NEVER;
}

int64_t
follow_revision(const struct follow *f)
{
	return f->whole ? f->revision : 0;
}

void
follow_adopt(struct follow *f, int64_t revision)
{
	if (revision > f->revision)
		f->revision = revision;
	f->whole = true;
}

void
follow_free(struct follow *f)
{
	buf_free(&f->after);
	free(f);
}
