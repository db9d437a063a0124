#include "plat/httpmsg.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static struct httpmsg *
owner(http_parser *p)
{
	return p->data;
}

static int
on_begin(http_parser *p)
{
	owner(p)->started = true;
	return 0;
}

static int
on_target(http_parser *p, const char *at, size_t n)
{
	struct httpmsg *m = owner(p);

	buf_put(&m->text, (struct str){ at, n });
	m->url_len += n;
	return 0;
}

static int
on_name(http_parser *p, const char *at, size_t n)
{
	struct httpmsg *m = owner(p);

	if (m->state != HTTPMSG_HEAD)
		return 0; /* a trailer, which is not passed on */
	if (m->n_fields == 0 || m->in_value) {
		if (m->n_fields == HTTPMSG_MAX_FIELDS) {
			m->head_too_large = true;
			return -1;
		}
		m->spans[m->n_fields].name_at = (uint32_t)m->text.n;
		m->spans[m->n_fields].name_n = 0;
		m->spans[m->n_fields].value_n = 0;
		m->n_fields++;
		m->in_value = false;
	}
	buf_put(&m->text, (struct str){ at, n });
	m->spans[m->n_fields - 1].name_n += (uint32_t)n;
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t n)
{
	struct httpmsg *m = owner(p);

	if (m->state != HTTPMSG_HEAD)
		return 0;
	if (!m->in_value) {
		m->spans[m->n_fields - 1].value_at = (uint32_t)m->text.n;
		m->in_value = true;
	}
	buf_put(&m->text, (struct str){ at, n });
	m->spans[m->n_fields - 1].value_n += (uint32_t)n;
	return 0;
}

/* Whether a name is a token (RFC 9110, 5.6.2); the parser lets blanks pass. */
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
on_head(http_parser *p)
{
	struct httpmsg *m = owner(p);

	if (p->http_major != 1)
		return -1;
	for (size_t i = 0; i < m->n_fields; i++) {
		if (!is_token(httpmsg_field(m, i).name))
			return -1;
	}
	if (m->parser.type == HTTP_RESPONSE && p->status_code < 200)
		return 0; /* interim; the answer follows */
	m->state = HTTPMSG_BODY;
	return m->body_allowed ? 0 : 1;
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	evbuffer_add(owner(p)->body, at, n);
	return 0;
}

static int
on_done(http_parser *p)
{
	struct httpmsg *m = owner(p);

	if (m->state == HTTPMSG_HEAD) { /* interim */
		buf_clear(&m->text);
		m->n_fields = 0;
		m->in_value = false;
		return 0;
	}
	m->state = HTTPMSG_DONE;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_done,
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
	buf_clear(&m->text);
	m->url_len = 0;
	m->n_fields = 0;
	m->in_value = false;
	m->line_start = false;
	m->head_scanned = false;
	evbuffer_drain(m->body, evbuffer_get_length(m->body));
}

/*
 * Counts the bytes of the head.  False if it is too large, or if a line of it
 * begins with a blank: the parser would join that to the field before.
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
		if (m->line_start && (c == ' ' || c == '\t'))
			return false;
		if (m->line_start && c == '\n')
			m->head_scanned = true;
		if (c != '\r')
			m->line_start = c == '\n';
	}
	return true;
}

/* One contiguous piece; false when nothing more is to be taken. */
static bool
feed_piece(struct httpmsg *m, struct evbuffer *in)
{
	struct evbuffer_iovec v;
	size_t used;

	if (evbuffer_peek(in, -1, NULL, &v, 1) < 1 || v.iov_len == 0)
		return false;
	if (m->state == HTTPMSG_HEAD &&
	    !scan_head(m, (struct str){ v.iov_base, v.iov_len })) {
		m->state = HTTPMSG_BAD;
		return false;
	}
	used =
	    http_parser_execute(&m->parser, &callbacks, v.iov_base, v.iov_len);
	if (m->state == HTTPMSG_DONE) {
		http_parser_pause(&m->parser, 0);
		evbuffer_drain(in, used);
		return false;
	}
	evbuffer_drain(in, used);
	if (HTTP_PARSER_ERRNO(&m->parser) != HPE_OK || m->parser.upgrade)
		m->state = HTTPMSG_BAD;
	return m->state != HTTPMSG_BAD;
}

void
httpmsg_feed(struct httpmsg *m, struct evbuffer *in)
{
	while (m->state != HTTPMSG_DONE && m->state != HTTPMSG_BAD &&
	    feed_piece(m, in))
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
		{ m->text.p + m->spans[i].name_at, m->spans[i].name_n },
		{ m->text.p +
			(m->spans[i].value_n > 0 ? m->spans[i].value_at : 0),
		    m->spans[i].value_n },
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
	static const char *const fixed[] = { "Connection", "Keep-Alive",
		"Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
		"Upgrade", "Content-Length", "Expect" };

	for (size_t i = 0; i < sizeof(fixed) / sizeof(fixed[0]); i++) {
		if (httpmsg_same_name(name, str_from(fixed[i])))
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
