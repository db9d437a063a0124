/* Reads a caller's request: token, headers and body. */
#include "entry/web_request.h"

#include <string.h>

#define MAX_ATTEMPT    1000000U
#define MAX_TIMEOUT_MS 3600000U
#define CONTINUE       STR("HTTP/1.1 100 Continue\r\n\r\n")

int
web_request_authorize(struct web_request *wr)
{
	const char *auth = mg_get_header(wr->conn, "Authorization");

	wr->conf = proc_state_conf(wr->o->proc_state);
	if (wr->conf == NULL)
		return ERR_NOT_READY;
	if (auth == NULL || strncasecmp(auth, "Bearer ", 7) != 0)
		return ERR_BAD_TOKEN;
	wr->workspace =
	    conf_workspace_by_token(wr->conf, str_trim(str_from(auth + 7)));
	return wr->workspace != NULL ? 0 : ERR_BAD_TOKEN;
}

bool
web_request_wants_stream(const struct web_request *wr)
{
	const char *accept = mg_get_header(wr->conn, "Accept");

	return accept != NULL && strstr(accept, "text/event-stream") != NULL;
}

bool
web_request_last_event_id(const struct web_request *wr, size_t *seen)
{
	const char *text = mg_get_header(wr->conn, "Last-Event-ID");
	uint64_t n = 0;

	if (text != NULL && !str_parse_u64(str_trim(str_from(text)), &n))
		return false;
	*seen = n;
	return true;
}

/* Reads a header with a whole number from 1 to max; 0 if it is absent. */
static int
number_header(const struct web_request *wr, const char *name, uint64_t max,
    uint64_t *out, struct buf *detail)
{
	const char *text = mg_get_header(wr->conn, name);

	*out = 0;
	if (text == NULL ||
	    (str_parse_u64(str_trim(str_from(text)), out) && *out > 0 &&
		*out <= max))
		return 0;
	buf_printf(detail, "%s: write a whole number from 1 to %llu", name,
	    (unsigned long long)max);
	return ERR_BAD_HEADER;
}

static int
too_large(const struct web_request *wr, struct buf *detail)
{
	buf_printf(
	    detail, "a body has at most %u bytes", wr->o->settings->max_body);
	return ERR_TOO_LARGE;
}

/* Waits until the body may have n bytes; returns 0 or an error number. */
static int
make_room(struct web_request *wr, size_t n, struct buf *detail)
{
	size_t need = wr->info->content_length >= 0
	    ? (size_t)wr->info->content_length
	    : wr->o->settings->max_body;

	n = MIN(n, need);
	if (n <= wr->n_body)
		return 0;
	if (!held_wait(&wr->body, n - wr->n_body, need)) {
		buf_put(detail,
		    STR("the host has no room for the body at present"));
		return ERR_MEMORY;
	}
	wr->n_body = n;
	return 0;
}

/* Reads from the connection until the body ends or is too large. */
static int
read_body_chunks(struct web_request *wr, struct buf *out, struct buf *detail)
{
	char part[8192];
	int rc;
	int n;

	for (;;) {
		rc = make_room(wr, out->n + sizeof(part), detail);
		if (rc != 0)
			return rc;
		n = mg_read(wr->conn, part, sizeof(part));
		if (n <= 0)
			break;
		buf_put(out, (struct str){ part, (size_t)n });
		if (out->n > wr->o->settings->max_body)
			return too_large(wr, detail);
	}
	if (n < 0 ||
	    (wr->info->content_length >= 0 &&
		out->n < (size_t)wr->info->content_length)) {
		buf_put(detail,
		    STR("the body ended early, came too slowly or has a bad "
			"chunk"));
		return ERR_SLOW_BODY;
	}
	return 0;
}

static int
read_body(struct web_request *wr, struct buf *out, struct buf *detail)
{
	const char *expect = mg_get_header(wr->conn, "Expect");
	struct connfd_read body_read = { .info = wr->info,
		.deadline = clock_now() + wr->o->settings->body_timeout };
	int rc;

	if (wr->info->content_length > (long long)wr->o->settings->max_body)
		return too_large(wr, detail);
	if (expect != NULL && strcasecmp(expect, "100-continue") == 0)
		mg_write(wr->conn, CONTINUE.p, CONTINUE.n);
	connfd_begin_read(wr->connfd_reads, &body_read);
	rc = read_body_chunks(wr, out, detail);
	connfd_end_read(wr->connfd_reads, &body_read);
	if (body_read.shut_down && rc == 0) {
		buf_put(detail, STR("the body came too slowly"));
		rc = ERR_SLOW_BODY;
	}
	wr->drained = rc == 0;
	held_drop(&wr->body, wr->n_body - MIN(wr->n_body, out->n));
	held_complete(&wr->body);
	return rc;
}

static int
read_key(const struct web_request *wr, struct buf *out, struct buf *detail)
{
	const char *key = mg_get_header(wr->conn, "Idempotency-Key");

	if (key == NULL)
		return 0;
	if (strlen(key) > MAX_KEY_BYTES) {
		buf_put(detail, STR("Idempotency-Key: longer than a UUID"));
		return ERR_KEY_BAD;
	}
	buf_put(out, str_from(key));
	return 0;
}

int
web_request_read(struct web_request *wr, struct str pipeline,
    struct traffic_request *rq, struct buf *detail)
{
	uint64_t attempt = 0;
	uint64_t timeout = 0;
	int rc = read_key(wr, &rq->key, detail);

	if (rc == 0)
		rc = number_header(
		    wr, "Sequoia-Attempt", MAX_ATTEMPT, &attempt, detail);
	if (rc == 0)
		rc = number_header(
		    wr, "Sequoia-Timeout-Ms", MAX_TIMEOUT_MS, &timeout, detail);
	if (rc == 0)
		rc = read_body(wr, &rq->body, detail);
	if (rc != 0)
		return rc;
	buf_put(&rq->pipeline, pipeline);
	buf_put(&rq->workspace, str_from(wr->workspace->name));
	rq->attempt = (uint32_t)attempt;
	rq->timeout = (usec_t)timeout * USEC_PER_MSEC;
	rq->stream = web_request_wants_stream(wr);
	return 0;
}
