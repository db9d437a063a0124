#include "entry/reply.h"
#include "base/rng.h"
#include "kernel/answer.h"
#include "kernel/memory.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define NOT_READY_RETRY (1 * USEC_PER_SEC)
/* Written at once; CivetWeb gives up a receiver that takes less in its time. */
#define WRITE_BYTES     ((size_t)32 * 1024)

static const char *
reason(int status)
{
	switch (status) {
	case 422: /* CivetWeb misspells the reason phrase */
		return "Unprocessable Content";
	case 499: /* not a registered status code */
		return "Client Closed Request";
	default:
		return mg_get_response_code_text(NULL, status);
	}
}

/* Appends Sunset (RFC 8594), Retry-After and the other headers that apply. */
static void
put_headers(
    const struct reply *r, const struct record_end *end, struct buf *out)
{
	time_t at = (time_t)(r->sunset / USEC_PER_SEC);
	struct tm tm;
	char date[40];

	if (r->sunset > 0) {
		gmtime_r(&at, &tm);
		strftime(date, sizeof(date), "%a, %d %b %Y %H:%M:%S GMT", &tm);
		buf_printf(out, "Sunset: %s\r\n", date);
	}
	if (r->allow != NULL)
		buf_printf(out, "Allow: %s\r\n", r->allow);
	if (r->close)
		buf_put(out, STR("Connection: close\r\n"));
	if (*r->request_id != '\0')
		buf_printf(out, "Sequoia-Request-Id: %s\r\n", r->request_id);
	if (end == NULL)
		return;
	if (end->outcome != OUTCOME_NONE)
		buf_printf(
		    out, "Sequoia-Outcome: %s\r\n", outcome_name(end->outcome));
	if (end->retry_after > 0)
		buf_printf(out, "Retry-After: %lld\r\n",
		    (long long)((end->retry_after + USEC_PER_SEC - 1) /
			USEC_PER_SEC));
	if (end->error == ERR_BAD_TOKEN)
		buf_put(out, STR("WWW-Authenticate: Bearer\r\n"));
}

/* Returns a number above 0, or else the answer is broken off. */
static int
write_all(const struct reply *r, struct str s)
{
	int n = 1;

	for (size_t part; n > 0 && s.n > 0; s.p += part, s.n -= part) {
		part = MIN(s.n, WRITE_BYTES);
		n = mg_write(r->conn, s.p, part);
		if (n > 0 && r->record != NULL &&
		    !record_taken(r->record, part))
			n = -1;
	}
	if (n <= 0)
		mg_disable_connection_keep_alive(r->conn);
	return n;
}

/* Writes a body of up to three parts; large ones aren't copied. */
static int
respond_parts(const struct reply *r, int status, const char *type,
    const struct record_end *end, const struct str body[3])
{
	size_t n = body[0].n + body[1].n + body[2].n;
	struct buf out = { 0 };
	bool ok = true;

	buf_printf(&out,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n",
	    status, reason(status), type, n);
	put_headers(r, end, &out);
	buf_put(&out, STR("\r\n"));
	if (r->close)
		mg_disable_connection_keep_alive(r->conn);
	for (int i = 0; ok && i < 3; i++) {
		if (body[i].n <= WRITE_BYTES) {
			buf_put(&out, body[i]);
			continue;
		}
		ok =
		    write_all(r, str_of(&out)) > 0 && write_all(r, body[i]) > 0;
		buf_clear(&out);
	}
	if (ok)
		write_all(r, str_of(&out));
	buf_free(&out);
	return status;
}

static int
respond(const struct reply *r, int status, const char *type,
    const struct record_end *end, struct str body)
{
	struct str parts[3] = { body, STR(""), STR("") };

	return respond_parts(r, status, type, end, parts);
}

static void
put_complete_head(const char *id, struct buf *out)
{
	buf_printf(out,
	    "{\"request_id\":\"%s\",\"outcome\":\"complete\",\"answer\":", id);
}

void
reply_complete_body(
    const char *id, const struct record_end *end, struct buf *out)
{
	put_complete_head(id, out);
	buf_put(out, end->body.n > 0 ? end->body : STR("{}"));
	buf_putc(out, '}');
}

void
reply_problem_body(
    const char *id, const struct record_end *end, struct buf *out)
{
	struct buf type = { 0 };
	json_t *o;

	buf_printf(&type, "urn:sequoiacourse:error:%s", err_name(end->error));
	o = json_pack("{s:s, s:s, s:i, s:s, s:s}", "type", type.p, "title",
	    err_name(end->error), "status", err_status(end->error), "detail",
	    end->detail, "remedy", err_remedy(end->error));
	if (end->outcome != OUTCOME_NONE)
		json_object_set_new(
		    o, "outcome", json_string(outcome_name(end->outcome)));
	if (*id != '\0')
		json_object_set_new(o, "request_id", json_string(id));
	answer_dump(o, out);
	buf_free(&type);
}

int
reply_end(const struct reply *r, const struct record_end *end)
{
	struct buf body = { 0 };
	int status = 200;

	if (end->outcome == OUTCOME_COMPLETE) {
		struct str parts[3] = { [1] = end->body, [2] = STR("}") };

		put_complete_head(r->request_id, &body);
		parts[0] = str_of(&body);
		if (parts[1].n == 0)
			parts[1] = STR("{}");
		respond_parts(r, status, "application/json", end, parts);
	} else {
		status = err_status(end->error);
		reply_problem_body(r->request_id, end, &body);
		respond(
		    r, status, "application/problem+json", end, str_of(&body));
	}
	buf_free(&body);
	return status;
}

int
reply_refuse(const struct reply *r, enum err_kind kind, const char *detail)
{
	struct record_end end = { .outcome = OUTCOME_NOT_RUN, .error = kind };

	if (r->about_other)
		end.outcome = OUTCOME_NONE;
	else if (r->keyed)
		end.outcome = OUTCOME_UNKNOWN;
	if (kind == ERR_NOT_READY)
		end.retry_after = NOT_READY_RETRY;
	else if (kind == ERR_MEMORY)
		end.retry_after = memory_retry_after(rng_entropy());
	snprintf(end.detail, sizeof(end.detail), "%s", detail);
	return reply_end(r, &end);
}

int
reply_json(const struct reply *r, int status, struct str body)
{
	return respond(r, status, "application/json", NULL, body);
}

bool
reply_stream_head(const struct reply *r)
{
	struct buf out = { 0 };
	int n;

	buf_put(&out,
	    STR("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		"Cache-Control: no-store\r\n"));
	put_headers(&(struct reply){ .request_id = r->request_id,
			.sunset = r->sunset,
			.close = true },
	    NULL, &out);
	buf_put(&out, STR("\r\n"));
	mg_disable_connection_keep_alive(r->conn);
	n = write_all(r, str_of(&out));
	buf_free(&out);
	return n > 0;
}

bool
reply_event(const struct reply *r, size_t id, const char *kind, struct str data)
{
	struct buf out = { 0 };
	int n;

	buf_printf(&out, "id: %zu\nevent: %s\ndata: ", id, kind);
	buf_put(&out, data);
	buf_put(&out, STR("\n\n"));
	n = write_all(r, str_of(&out));
	buf_free(&out);
	return n > 0;
}
