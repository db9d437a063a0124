#include "plat/dial_state.h"
#include "plat/unread.h"

/*
 * Of a header section or event; one that is longer may double, and its buffer
 * again.
 */
#define FIRST_BYTES 4096
/*
 * A target that was stopped by a full window sends again after a round trip, at
 * the latest.
 */
#define RESUME_TIME (200 * USEC_PER_MSEC)
/* What a bufferevent reads in a turn of the loop, and what more is read. */
#define READ_BYTES  ((size_t)4096)
#define TURN_BYTES  ((size_t)64 * 1024)

static void
stop_reading(struct conn *c)
{
	bufferevent_disable(c->bev, EV_READ);
	if (c->call != NULL && c->call->unread_since == 0)
		c->call->unread_since = clock_now();
}

static void
read_on(struct conn *c)
{
	bufferevent_enable(c->bev, EV_READ);
	if (c->call == NULL)
		return;
	c->call->unread = dial_unread(c->call);
	c->call->unread_since = 0;
}

static void
go_on(void *arg)
{
	struct conn *c = arg;

	c->resumed_at = clock_now();
	if (!c->paused)
		read_on(c);
}

void
dial_room_open(struct conn *c)
{
	held_init(&c->held,
	    &(struct held_opts){
		.memory = c->d->memory,
		.runner = c->d->runner,
		.use = MEMORY_ANSWER,
		.go_on = go_on,
		.arg = c,
	    });
	held_watch(&c->held, bufferevent_get_input(c->bev));
	held_watch(&c->held, c->response.body);
}

void
dial_room_close(struct conn *c)
{
	held_unwatch(&c->held, bufferevent_get_input(c->bev));
	held_unwatch(&c->held, c->response.body);
	held_end(&c->held);
}

/*
 * Size of the whole response, of which a part is held, or a guess of its header
 * section while that is incomplete, or of the next part of one that its handler
 * takes as it comes; 0: not known.
 */
static size_t
response_bytes(const struct conn *c)
{
	const struct http_parser *p = &c->response.parser;
	size_t held = evbuffer_get_length(c->response.body) + c->held.counted;

	if (c->response.state == HTTPMSG_HEAD)
		return FIRST_BYTES + 4 * c->response.text.n;
	if (held < MEMORY_SMALL && c->call->head_delivered &&
	    evbuffer_get_length(c->response.body) == 0)
		return FIRST_BYTES + 4 * c->kept;
	if ((p->flags & F_CONTENTLENGTH) == 0 ||
	    p->content_length == ULLONG_MAX)
		return 0;
	return held +
	    MIN(p->content_length, MEMORY_ITEM - MIN(held, MEMORY_ITEM));
}

static void
count_kept(struct conn *c)
{
	held_set(&c->held, c->response.text.cap + c->kept);
}

void
dial_room_take(struct conn *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);

	if (evbuffer_get_length(in) >= READ_BYTES &&
	    (bufferevent_get_enabled(c->bev) & EV_READ) != 0)
		unread_take(c->bev, MIN(TURN_BYTES, held_room(&c->held)));
}

void
dial_room_check(struct conn *c)
{
	count_kept(c);
	if (!held_may_read(&c->held, response_bytes(c)))
		stop_reading(c);
}

void
dial_room_done(struct conn *c)
{
	c->kept = 0;
	c->paused = false;
	c->resumed_at = 0;
	count_kept(c);
	held_complete(&c->held);
	bufferevent_enable(c->bev, EV_READ);
	if (c->call != NULL) {
		c->call->unread_since = 0;
		c->call->unread = 0;
	}
}

bool
dial_is_held(const struct dial_call *k)
{
	const struct conn *c = k->conn;

	return c->paused || held_is_waiting(&c->held) ||
	    (c->resumed_at > 0 && clock_now() - c->resumed_at < RESUME_TIME);
}

usec_t
dial_waited(const struct dial_call *k)
{
	return held_waited(&k->conn->held);
}

struct timeval
dial_room_step(const struct dial_call *k)
{
	return (struct timeval){ 0, dial_is_held(k) ? DIAL_HELD_STEP : 0 };
}

void
dial_pause(struct dial_call *k, bool paused)
{
	struct conn *c = k->conn;

	if (c->paused == paused)
		return;
	c->paused = paused;
	if (paused) {
		stop_reading(c);
		return;
	}
	c->resumed_at = clock_now();
	if (!held_is_waiting(&c->held))
		read_on(c);
}

usec_t
dial_unread(const struct dial_call *k)
{
	usec_t now = clock_now();
	usec_t t = k->unread_since > 0 ? now - k->unread_since : 0;

	return MAX(k->unread, t);
}

void
dial_keeps(struct dial_call *k, size_t n)
{
	k->conn->kept = n;
	count_kept(k->conn);
}
