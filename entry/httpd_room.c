#include "entry/httpd_state.h"

#include <stdio.h>

/* The header section is also in the head of a call, and in that to be sent. */
#define HEAD_COPIES 3
/* Of a header section; one that is longer may double, and its buffer again. */
#define FIRST_BYTES 4096
/* Pause until a wait that is nearly over is looked at again. */
#define STEP        (10 * USEC_PER_MSEC)
/* Written in one turn of the loop: a large answer needs few. */
#define WRITE_BYTES ((size_t)256 * 1024)

/* Room for the request has become free. */
static void
go_on(void *arg)
{
	struct httpd_request *q = arg;
	usec_t left;

	q->stopped += clock_now() - q->stopped_at;
	bufferevent_enable(q->bev, EV_READ);
	left = httpd_time_left(q);
	httpd_set_timer(q, left > 0 ? left : 0);
}

static void
break_off(void *arg)
{
	httpd_break_off(arg);
}

void
httpd_room_open(struct httpd_request *q)
{
	const struct httpd_opts *o = &q->httpd->o;

	held_init(&q->in_held,
	    &(struct held_opts){
		.memory = o->memory,
		.runner = o->runner,
		.use = o->use,
		.go_on = go_on,
		.arg = q,
	    });
	held_init(&q->out_held,
	    &(struct held_opts){
		.memory = o->memory,
		.runner = o->runner,
		.use = MEMORY_UNSENT,
		.break_off = break_off,
		.arg = q,
	    });
	held_watch(&q->in_held, bufferevent_get_input(q->bev));
	held_watch(&q->in_held, q->in.body);
	held_watch(&q->out_held, bufferevent_get_output(q->bev));
	bufferevent_set_max_single_write(q->bev, WRITE_BYTES);
	/* So that on_sent is called while bytes are left. */
	bufferevent_setwatermark(q->bev, EV_WRITE, MEMORY_BACKLOG, 0);
}

bool
httpd_takes_more(const struct httpd_request *q, bool paused)
{
	return httpd_backlog(q) <= MEMORY_BACKLOG &&
	    held_reads_on(&q->out_held, paused);
}

void
httpd_room_close(struct httpd_request *q)
{
	held_unwatch(&q->in_held, bufferevent_get_input(q->bev));
	held_unwatch(&q->in_held, q->in.body);
	held_unwatch(&q->out_held, bufferevent_get_output(q->bev));
	held_end(&q->in_held);
	held_end(&q->out_held);
}

/* Bytes of the body that follow, as declared; false if they aren't. */
static bool
body_rest(const struct httpd_request *q, uint64_t *out)
{
	*out = q->in.parser.content_length;
	return q->in.state == HTTPMSG_BODY &&
	    (q->in.parser.flags & F_CONTENTLENGTH) != 0 && *out != ULLONG_MAX;
}

/*
 * Size of the whole request, or a guess of its header section while that is
 * incomplete; 0: not known.
 */
static size_t
request_bytes(const struct httpd_request *q)
{
	size_t body = evbuffer_get_length(q->in.body);
	uint64_t rest;

	if (q->in.state == HTTPMSG_HEAD)
		return FIRST_BYTES + 4 * q->in.text.n;
	if (!body_rest(q, &rest))
		return 0;
	return MIN(q->in_held.counted + body + rest, MEMORY_ITEM);
}

static void
count_kept(struct httpd_request *q)
{
	size_t n = q->in.state == HTTPMSG_DONE ? HEAD_COPIES : 1;

	held_set(&q->in_held, n * q->in.text.cap + q->kept);
}

void
httpd_keeps(struct httpd_request *q, size_t n)
{
	q->kept = n;
	count_kept(q);
}

/* Drops what was read of the request and answers it. */
static void
refuse(struct httpd_request *q)
{
	const struct httpd_opts *o = &q->httpd->o;
	char fields[64];

	q->busy = true;
	held_complete(&q->in_held);
	evbuffer_drain(q->in.body, evbuffer_get_length(q->in.body));
	bufferevent_enable(q->bev, EV_READ);
	if (o->on_no_room != NULL) {
		o->on_no_room(o->arg, q);
		return;
	}
	snprintf(fields, sizeof(fields), "Retry-After: %.3f\r\n",
	    (double)memory_retry_after((uint64_t)q->arrived) /
		(double)USEC_PER_SEC);
	httpd_respond(q,
	    &(struct httpd_response){
		.status = HTTP_STATUS_SERVICE_UNAVAILABLE, .fields = fields });
}

void
httpd_room_check(struct httpd_request *q)
{
	bool waits = httpd_room_waits(q);

	count_kept(q);
	if (held_may_read(&q->in_held, request_bytes(q)))
		return;
	if (held_refuses(&q->in_held)) {
		refuse(q);
		return;
	}
	/* What was read before may be handled only now. */
	if (waits)
		return;
	bufferevent_disable(q->bev, EV_READ);
	q->stopped_at = clock_now();
	httpd_set_timer(q, MEMORY_REQUEST_WAIT);
}

bool
httpd_room_fits(const struct httpd_request *q)
{
	size_t n = q->in_held.counted + evbuffer_get_length(q->in.body);
	uint64_t rest;

	if (body_rest(q, &rest))
		return held_fits(&q->in_held, rest);
	return q->in.state != HTTPMSG_BODY || held_can_grow(&q->in_held, n);
}

bool
httpd_room_waits(const struct httpd_request *q)
{
	return held_is_waiting(&q->in_held);
}

void
httpd_room_on_timer(struct httpd_request *q)
{
	if (held_refuses(&q->in_held))
		refuse(q);
	else
		httpd_set_timer(q, STEP);
}

bool
httpd_room_complete(struct httpd_request *q)
{
	count_kept(q);
	/* So that a close is noticed. */
	if (httpd_room_waits(q))
		bufferevent_enable(q->bev, EV_READ);
	held_complete(&q->in_held);
	if (!held_refuses_complete(
		&q->in_held, evbuffer_get_length(q->in.body)))
		return true;
	refuse(q);
	return false;
}

void
httpd_room_next(struct httpd_request *q)
{
	q->stopped = 0;
	q->kept = 0;
	count_kept(q);
	held_complete(&q->in_held);
	bufferevent_enable(q->bev, EV_READ);
}
