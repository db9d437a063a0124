#include "plat/dial_state.h"

void
dial_check_begin(struct conn *c)
{
	usec_t t = c->call->check.timeout;
	struct timeval tv = { t / USEC_PER_SEC, t % USEC_PER_SEC };
	struct buf *head = &c->call->check_head;

	c->d->counts.checks++;
	c->response.body_allowed = true;
	evtimer_add(c->connect_timer, &tv);
	evbuffer_add(bufferevent_get_output(c->bev), head->p, head->n);
}

/* Another call's response has come first. */
static bool
skip_response(struct conn *c)
{
	if (!dial_skip_stray(c)) {
		dial_fail_call(c, DIAL_UNCHECKED);
		return false;
	}
	if (c->response.state != HTTPMSG_DONE)
		return true;
	c->d->counts.stray++;
	httpmsg_reset(&c->response);
	c->response.body_allowed = true;
	httpmsg_feed(&c->response, bufferevent_get_input(c->bev));
	return dial_check_message(c);
}

bool
dial_check_message(struct conn *c)
{
	struct dial_call *k = c->call;

	if (c->response.state == HTTPMSG_HEAD)
		return true;
	if (c->response.state != HTTPMSG_BAD && dial_is_stray(c))
		return skip_response(c);
	if (c->response.state == HTTPMSG_BODY &&
	    evbuffer_get_length(c->response.body) <= MAX_UNREAD_BYTES)
		return true;
	/* Bytes after the response belong to no call. */
	if (c->response.state != HTTPMSG_DONE ||
	    !k->check.accept(k->arg, &c->response) ||
	    !httpmsg_keep_alive(&c->response) ||
	    evbuffer_get_length(bufferevent_get_input(c->bev)) > 0) {
		dial_fail_call(c, DIAL_UNCHECKED);
		return false;
	}
	c->checking = false;
	c->checked = k->check.number;
	event_del(c->connect_timer);
	k->late_read = (struct late_read){ 0 };
	httpmsg_reset(&c->response);
	dial_room_done(c);
	dial_send_pending(c);
	return true;
}
