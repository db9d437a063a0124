/* Writing a caller's answer, and noticing that the caller has gone. */
#include "entry/web_request.h"
#include "kernel/answer.h"

#include <string.h>

#define WAIT_STEP      (250 * USEC_PER_MSEC)
#define HEARTBEAT      (1 * USEC_PER_SEC)
#define RECONNECT_TIME (2 * USEC_PER_SEC)
#define PROCESSING     STR("HTTP/1.1 102 Processing\r\n\r\n")

static bool
send_token_event(const struct web_request *v, struct record *r, size_t i)
{
	struct buf text = { 0 };
	struct buf data = { 0 };
	bool ok;

	record_get_chunk(r, i, &text);
	answer_dump(json_pack("{s:s%}", "text", text.p, text.n), &data);
	ok = reply_event(&v->reply, i + 1, "token", str_of(&data));
	buf_free(&text);
	buf_free(&data);
	return ok;
}

static bool
send_end(const struct web_request *v, struct record *r,
    const struct record_view *view)
{
	struct buf data = { 0 };
	bool complete = view->end.outcome == OUTCOME_COMPLETE;
	bool ok;

	if (complete)
		reply_complete_body(record_id(r), &view->end, &data);
	else
		reply_problem_body(record_id(r), &view->end, &data);
	ok = reply_event(&v->reply, view->chunks + 1,
	    complete ? "answer" : "problem", str_of(&data));
	buf_free(&data);
	return ok;
}

/* Streams from piece number seen on; false when the caller has gone. */
static bool
stream(const struct web_request *v, struct record *r, size_t seen)
{
	struct record_view view;
	bool ok = reply_stream_head(&v->reply);

	while (ok) {
		record_wait(r, seen, HEARTBEAT, &view);
		if (!view.ended && view.chunks <= seen)
			ok = mg_write(v->conn, ":\n\n", 3) > 0;
		for (; ok && seen < view.chunks; seen++)
			ok = send_token_event(v, r, seen);
		if (ok && view.ended)
			return send_end(v, r, &view);
	}
	return false;
}

/*
 * Whether the caller has closed its connection.  One that only stopped
 * sending looks the same at first, so it is sent an interim response: who has
 * closed resets the connection, who still reads takes it as HTTP/1.1 demands.
 * An HTTP/1.0 caller understands none and counts as there.
 */
static bool
has_gone(const struct web_request *v, int fd, bool *probed)
{
	switch (connfd_state(fd)) {
	case CONNFD_OPEN:
		return false;
	case CONNFD_CLOSED:
		return true;
	case CONNFD_HALF_CLOSED:
		break;
	}
	if (!*probed && strcmp(v->info->http_version, "1.1") == 0)
		mg_write(v->conn, PROCESSING.p, PROCESSING.n);
	*probed = true;
	return false;
}

/* Waits for the end; false when the caller has gone. */
static bool
wait_until_ended(
    const struct web_request *v, struct record *r, struct record_view *view)
{
	bool probed = false;
	int fd = -1;

	record_wait(r, SIZE_MAX, WAIT_STEP, view);
	if (!view->ended)
		fd = connfd_find(v->info);
	while (!view->ended) {
		if (fd >= 0 && has_gone(v, fd, &probed))
			return false;
		record_wait(r, SIZE_MAX, WAIT_STEP, view);
	}
	return true;
}

int
web_request_serve(
    struct web_request *v, struct record *r, size_t seen, bool streamed)
{
	struct record_view view;
	int status = 200;
	bool there;

	record_attach(r);
	if (streamed) {
		there = stream(v, r, seen);
	} else {
		there = wait_until_ended(v, r, &view);
		if (there)
			status = reply_end(&v->reply, &view.end);
	}
	if (!there)
		record_wait(r, SIZE_MAX, RECONNECT_TIME, &view);
	if (record_detach(r) && !there && !view.ended)
		traffic_caller_gone(v->o->traffic, record_handle(r));
	return status;
}
