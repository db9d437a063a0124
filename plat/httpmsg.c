#include "plat/httpmsg.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Longer text is freed with its message. */
#define KEPT_TEXT_BYTES 4096

static struct httpmsg *
msg_of(http_parser *p)
{
	return p->data;
}

static int
on_begin(http_parser *p)
{
	msg_of(p)->started = true;
	return 0;
}

static int
on_url(http_parser *p, const char *at, size_t n)
{
	struct httpmsg *m = msg_of(p);

	buf_put(&m->text, (struct str){ at, n });
	m->url_len += n;
	return 0;
}

static int
on_field_name(http_parser *p, const char *at, size_t n)
{
	struct httpmsg *m = msg_of(p);

	if (m->state != HTTPMSG_HEAD)
		return 0; /* trailer fields are dropped */
	if (m->n_fields == 0 || m->in_value) {
		if (m->n_fields == HTTPMSG_MAX_FIELDS) {
			m->head_too_large = true;
			return -1;
		}
		m->spans[m->n_fields].name_off = (uint32_t)m->text.n;
		m->spans[m->n_fields].name_len = 0;
		m->spans[m->n_fields].value_len = 0;
		m->n_fields++;
		m->in_value = false;
	}
	buf_put(&m->text, (struct str){ at, n });
	m->spans[m->n_fields - 1].name_len += (uint32_t)n;
	return 0;
}

static int
on_field_value(http_parser *p, const char *at, size_t n)
{
	struct httpmsg *m = msg_of(p);

	if (m->state != HTTPMSG_HEAD)
		return 0;
	if (!m->in_value) {
		m->spans[m->n_fields - 1].value_off = (uint32_t)m->text.n;
		m->in_value = true;
	}
	buf_put(&m->text, (struct str){ at, n });
	m->spans[m->n_fields - 1].value_len += (uint32_t)n;
	return 0;
}

/*
 * Whether a field name is a token (RFC 9110, 5.6.2).  The parser itself accepts
 * spaces in names.
 */
static bool
is_token(struct str s)
{
	for (size_t i = 0; i < s.n; i++) {
		if (!g_ascii_isalnum(s.p[i]) &&
		    strchr("!#$%&'*+-.^_`|~", s.p[i]) == NULL)
			return false;
	}
	return s.n > 0;
}

static int
on_headers_complete(http_parser *p)
{
	struct httpmsg *m = msg_of(p);

	if (p->http_major != 1)
		return -1;
	for (size_t i = 0; i < m->n_fields; i++) {
		if (!is_token(httpmsg_field(m, i).name))
			return -1;
	}
	if (m->parser.type == HTTP_RESPONSE && p->status_code < 200)
		return 0; /* interim: the final response follows */
	m->state = HTTPMSG_BODY;
	return m->body_allowed ? 0 : 1;
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	evbuffer_add(msg_of(p)->body, at, n);
	return 0;
}

static int
on_complete(http_parser *p)
{
	struct httpmsg *m = msg_of(p);

	if (m->state == HTTPMSG_HEAD) { /* interim response */
		buf_clear(&m->text);
		m->n_fields = 0;
		m->in_value = false;
		/* The header section of the next one counts to the limit too.
		 */
		m->head_scanned = false;
		m->head_begun = false;
		m->n_status_line = 0;
	} else {
		m->state = HTTPMSG_DONE;
	}
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void
httpmsg_init(struct httpmsg *m, enum http_parser_type type, size_t head_limit)
{
	*m = (struct httpmsg){ 0 };
	m->head_limit = head_limit;
	m->body_allowed = true;
	m->body = evbuffer_new();
	http_parser_init(&m->parser, type);
	m->parser.data = m;
}

void
httpmsg_reset(struct httpmsg *m)
{
	enum http_parser_type type = (enum http_parser_type)m->parser.type;

	http_parser_init(&m->parser, type);
	m->parser.data = m;
	m->state = HTTPMSG_HEAD;
	m->head_bytes = 0;
	m->head_too_large = false;
	m->started = false;
	m->body_allowed = true;
	if (m->text.cap > KEPT_TEXT_BYTES)
		buf_free(&m->text);
	buf_clear(&m->text);
	m->url_len = 0;
	m->n_fields = 0;
	m->in_value = false;
	m->line_start = false;
	m->head_scanned = false;
	m->head_begun = false;
	m->n_status_line = 0;
	evbuffer_drain(m->body, evbuffer_get_length(m->body));
}

/* Returns false if the response doesn't begin as one. */
static bool
scan_status_line(struct httpmsg *m, char c)
{
	if (m->parser.type != HTTP_RESPONSE ||
	    m->n_status_line == STATUS_LINE_BYTES)
		return true;
	m->status_line[m->n_status_line++] = c;
	return status_line_is_valid(
	    (struct str){ m->status_line, m->n_status_line });
}

/*
 * Counts the bytes of the header section.  Returns false if it is too large,
 * has no status, or one of its lines starts with a blank: the parser would
 * append that line to the previous field.
 */
static bool
scan_head(struct httpmsg *m, struct str s)
{
	for (size_t i = 0; i < s.n && !m->head_scanned; i++) {
		char c = s.p[i];

		if (++m->head_bytes > m->head_limit) {
			m->head_too_large = true;
			return false;
		}
		/* Blank lines before the message don't end its head. */
		if (!m->head_begun && (c == '\r' || c == '\n'))
			continue;
		m->head_begun = true;
		if (!scan_status_line(m, c))
			return false;
		if (m->line_start && (c == ' ' || c == '\t'))
			return false;
		if (m->line_start && c == '\n')
			m->head_scanned = true;
		if (c != '\r')
			m->line_start = c == '\n';
	}
	return true;
}

/* Parses one contiguous part of in; returns false if parsing has to stop. */
static bool
feed_span(struct httpmsg *m, struct evbuffer *in)
{
	struct evbuffer_iovec v;
	size_t consumed;

	if (evbuffer_peek(in, -1, NULL, &v, 1) < 1 || v.iov_len == 0)
		return false;
	if (m->state == HTTPMSG_HEAD &&
	    !scan_head(m, (struct str){ v.iov_base, v.iov_len })) {
		m->state = HTTPMSG_BAD;
		return false;
	}
	consumed =
	    http_parser_execute(&m->parser, &callbacks, v.iov_base, v.iov_len);
	evbuffer_drain(in, consumed);
	if (HTTP_PARSER_ERRNO(&m->parser) == HPE_PAUSED) {
		http_parser_pause(&m->parser, 0);
		return m->state != HTTPMSG_DONE;
	}
	if (HTTP_PARSER_ERRNO(&m->parser) != HPE_OK || m->parser.upgrade)
		m->state = HTTPMSG_BAD;
	return m->state != HTTPMSG_BAD;
}

void
httpmsg_feed(struct httpmsg *m, struct evbuffer *in)
{
	while (m->state != HTTPMSG_DONE && m->state != HTTPMSG_BAD &&
	    feed_span(m, in))
		;
}

void
httpmsg_eof(struct httpmsg *m)
{
	if (m->state != HTTPMSG_BODY)
		return;
	http_parser_execute(&m->parser, &callbacks, "", 0);
	if (m->state != HTTPMSG_DONE)
		m->state = HTTPMSG_BAD;
}

bool
httpmsg_has_end(const struct httpmsg *m)
{
	return (m->parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0 ||
	    !m->body_allowed ||
	    m->parser.status_code == HTTP_STATUS_NO_CONTENT ||
	    m->parser.status_code == HTTP_STATUS_NOT_MODIFIED;
}

bool
httpmsg_keep_alive(const struct httpmsg *m)
{
	return m->state == HTTPMSG_DONE &&
	    http_should_keep_alive(&m->parser) != 0;
}

struct str
httpmsg_url(const struct httpmsg *m)
{
	return (struct str){ m->text.p, m->url_len };
}

struct httpmsg_field
httpmsg_field(const struct httpmsg *m, size_t i)
{
	return (struct httpmsg_field){
		{ m->text.p + m->spans[i].name_off, m->spans[i].name_len },
		{ m->text.p +
			(m->spans[i].value_len > 0 ? m->spans[i].value_off : 0),
		    m->spans[i].value_len },
	};
}

bool
httpmsg_same_name(struct str a, struct str b)
{
	return a.n == b.n && strncasecmp(a.p, b.p, a.n) == 0;
}

struct str
httpmsg_get(const struct httpmsg *m, struct str name)
{
	for (size_t i = 0; i < m->n_fields; i++) {
		struct httpmsg_field f = httpmsg_field(m, i);

		if (httpmsg_same_name(f.name, name))
			return f.value;
	}
	return (struct str){ NULL, 0 };
}

bool
httpmsg_has_token(const struct httpmsg *m, struct str name, struct str token)
{
	for (size_t i = 0; i < m->n_fields; i++) {
		struct httpmsg_field f = httpmsg_field(m, i);
		struct str part;

		if (!httpmsg_same_name(f.name, name))
			continue;
		while (str_cut(&f.value, ',', &part)) {
			if (httpmsg_same_name(str_trim(part), token))
				return true;
		}
	}
	return false;
}

bool
httpmsg_hop_by_hop(const struct httpmsg *m, struct str name)
{
	static const char *const names[] = { "Connection", "Keep-Alive",
		"Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
		"Upgrade", "Content-Length", "Expect" };

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (httpmsg_same_name(name, str_from(names[i])))
			return true;
	}
	return httpmsg_has_token(m, STR("Connection"), name);
}

void
httpmsg_free(struct httpmsg *m)
{
	buf_free(&m->text);
	if (m->body != NULL)
		evbuffer_free(m->body);
	m->body = NULL;
}
