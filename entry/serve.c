/* Writing a caller's answer, and noticing that the caller has gone. */
#include "entry/visit.h"
#include "kernel/answer.h"

#include <string.h>

#define WAIT_STEP      (250 * USEC_PER_MSEC)
#define HEARTBEAT      (1 * USEC_PER_SEC)
#define RECONNECT_TIME (2 * USEC_PER_SEC)
#define PROCESSING     STR("HTTP/1.1 102 Processing\r\n\r\n")

static bool
send_piece(const struct visit *v, struct record *r, size_t i)
{
	struct buf text = { 0 };
	struct buf data = { 0 };
	bool ok;

	record_read(r, i, &text);
	answer_dump(json_pack("{s:s%}", "text", text.p, text.n), &data);
	ok = reply_event(&v->reply, i + 1, "token", str_of(&data));
	buf_free(&text);
	buf_free(&data);
	return ok;
}

static bool
send_end(
    const struct visit *v, struct record *r, const struct record_view *view)
{
	struct buf data = { 0 };
	bool complete = view->end.outcome == OUTCOME_COMPLETE;
	bool ok;

	if (complete)
		reply_complete_body(record_id(r), &view->end, &data);
	else
		reply_problem_body(record_id(r), &view->end, &data);
	ok = reply_event(&v->reply, view->pieces + 1,
	    complete ? "answer" : "problem", str_of(&data));
	buf_free(&data);
	return ok;
}

/* Streams from piece number seen on; false when the caller has gone. */
static bool
stream(const struct visit *v, struct record *r, size_t seen)
{
	struct record_view view;
	bool ok = reply_stream_head(&v->reply);

	while (ok) {
		record_wait(r, seen, HEARTBEAT, &view);
		if (!view.ended && view.pieces <= seen)
			ok = mg_write(v->conn, ":\n\n", 3) > 0;
		for (; ok && seen < view.pieces; seen++)
			ok = send_piece(v, r, seen);
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
has_gone(const struct visit *v, int fd, bool *probed)
{
	switch (guard_look(fd)) {
	case PEER_THERE:
		return false;
	case PEER_GONE:
		return true;
	case PEER_SILENT:
		break;
	}
	if (!*probed && strcmp(v->info->http_version, "1.1") == 0)
		mg_write(v->conn, PROCESSING.p, PROCESSING.n);
	*probed = true;
	return false;
}

/* Waits for the end; false when the caller has gone. */
static bool
wait_whole(const struct visit *v, struct record *r, struct record_view *view)
{
	bool probed = false;
	int fd = -1;

	record_wait(r, SIZE_MAX, WAIT_STEP, view);
	if (!view->ended)
		fd = guard_find(v->info);
	while (!view->ended) {
		if (fd >= 0 && has_gone(v, fd, &probed))
			return false;
		record_wait(r, SIZE_MAX, WAIT_STEP, view);
	}
	return true;
}

int
visit_serve(struct visit *v, struct record *r, size_t seen, bool streamed)
{
	struct record_view view;
	int status = 200;
	bool there;

	record_enter(r);
	if (streamed) {
		there = stream(v, r, seen);
	} else {
		there = wait_whole(v, r, &view);
		if (there)
			status = reply_end(&v->reply, &view.end);
	}
	if (!there)
		record_wait(r, SIZE_MAX, RECONNECT_TIME, &view);
	if (record_leave(r) && !there && !view.ended)
		traffic_gone(v->o->traffic, record_handle(r));
	return status;
}
