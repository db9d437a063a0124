/* Writes the response to a caller, and detects that the caller disconnects. */
#include "entry/web_request.h"
#include "kernel/answer.h"

#include <string.h>

#define WAIT_INTERVAL      (250 * USEC_PER_MSEC)
#define HEARTBEAT_INTERVAL (1 * USEC_PER_SEC)
/*
 * A request is cancelled when its caller has been disconnected for this long.
 */
#define RECONNECT_TIME     (2 * USEC_PER_SEC)
#define PROCESSING         STR("HTTP/1.1 102 Processing\r\n\r\n")

static void
set_wait(struct web_request *wr, const struct record *r, enum progress_wait w)
{
	in_progress_set(wr->in_progress, &wr->progress, record_id(r), w);
}

static bool
send_token_event(const struct web_request *wr, struct record *r, size_t i)
{
	struct buf text = { 0 };
	struct buf data = { 0 };
	bool ok;

	record_get_chunk(r, i, &text);
	answer_dump(json_pack("{s:s%}", "text", text.p, text.n), &data);
	ok = reply_event(&wr->reply, i + 1, "token", str_of(&data));
	buf_free(&text);
	buf_free(&data);
	return ok;
}

static bool
send_end(const struct web_request *wr, struct record *r,
    const struct record_view *view)
{
	struct buf data = { 0 };
	bool complete = view->end.outcome == OUTCOME_COMPLETE;
	bool ok;

	if (complete)
		reply_complete_body(record_id(r), &view->end, &data);
	else
		reply_problem_body(record_id(r), &view->end, &data);
	ok = reply_event(&wr->reply, view->chunks + 1,
	    complete ? "answer" : "problem", str_of(&data));
	buf_free(&data);
	return ok;
}

/*
 * Streams the chunks after the first seen; false if the caller has
 * disconnected.
 */
static bool
stream(struct web_request *wr, struct record *r, size_t seen)
{
	struct record_view view;
	bool ok = reply_stream_head(&wr->reply);

	while (ok) {
		record_wait(r, seen, HEARTBEAT_INTERVAL, &view);
		if (!view.ended && view.chunks <= seen)
			ok = mg_write(wr->conn, ":\n\n", 3) > 0;
		set_wait(wr, r, PROGRESS_CALLER);
		for (; ok && seen < view.chunks; seen++)
			ok = send_token_event(wr, r, seen);
		if (ok && view.ended)
			return send_end(wr, r, &view);
		set_wait(wr, r, PROGRESS_RESULT);
	}
	return false;
}

/*
 * Returns whether the caller has closed its connection.  After a half-close,
 * the caller may still read, so it is sent an interim response once: a closed
 * peer answers with a reset, and a peer that still reads must accept the
 * response under HTTP/1.1.  HTTP/1.0 has no interim responses, so such a caller
 * counts as connected.
 */
static bool
is_disconnected(const struct web_request *wr, int fd, bool *probed)
{
	switch (connfd_state(fd)) {
	case CONNFD_OPEN:
		return false;
	case CONNFD_CLOSED:
		return true;
	case CONNFD_HALF_CLOSED:
		break;
	}
	if (!*probed && strcmp(wr->info->http_version, "1.1") == 0)
		mg_write(wr->conn, PROCESSING.p, PROCESSING.n);
	*probed = true;
	return false;
}

/* Waits until the request has ended; false if the caller has disconnected. */
static bool
wait_until_ended(
    const struct web_request *wr, struct record *r, struct record_view *view)
{
	bool probed = false;
	int fd = -1;

	record_wait(r, SIZE_MAX, WAIT_INTERVAL, view);
	if (!view->ended)
		fd = connfd_find(wr->info);
	while (!view->ended) {
		if (fd >= 0 && is_disconnected(wr, fd, &probed))
			return false;
		record_wait(r, SIZE_MAX, WAIT_INTERVAL, view);
	}
	return true;
}

int
web_request_serve(
    struct web_request *wr, struct record *r, size_t seen, bool streamed)
{
	struct record_view view;
	int status = 200;
	bool connected;

	record_attach(r);
	wr->reply.record = r;
	set_wait(wr, r, PROGRESS_RESULT);
	if (streamed) {
		connected = stream(wr, r, seen);
	} else {
		connected = wait_until_ended(wr, r, &view);
		if (connected) {
			set_wait(wr, r, PROGRESS_CALLER);
			status = reply_end(&wr->reply, &view.end);
		}
	}
	if (!connected) {
		set_wait(wr, r, PROGRESS_GONE);
		record_wait(r, SIZE_MAX, RECONNECT_TIME, &view);
	}
	wr->reply.record = NULL;
	if (record_detach(r) && !connected && !view.ended)
		traffic_caller_gone(wr->o->traffic, record_handle(r));
	return status;
}
