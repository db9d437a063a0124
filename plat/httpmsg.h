/*
 * Parser of HTTP/1.1 requests and responses in an evbuffer, over
 * libhttp-parser.
 *
 * Parsing stops at the end of each message; bytes after it stay in the
 * evbuffer.  Ambiguous messages are rejected: two lengths, a length together
 * with chunked encoding, a malformed chunk, a field folded over several lines.
 * A message belongs to one thread at a time.
 */
#ifndef PLAT_HTTPMSG_H
#define PLAT_HTTPMSG_H

#include "base/str.h"
#include "plat/status_line.h"

#include <event2/buffer.h>
#include <http_parser.h>

#define HTTPMSG_MAX_FIELDS 200

struct httpmsg_field {
	struct str name;
	struct str value;
};

enum httpmsg_state {
	HTTPMSG_HEAD, /* the header section is incomplete */
	HTTPMSG_BODY, /* the header section is complete */
	HTTPMSG_DONE, /* the message is complete */
	HTTPMSG_BAD   /* the message is malformed or too large */
};

struct httpmsg {
	struct http_parser parser;
	enum httpmsg_state state;
	size_t head_bytes; /* bytes of the header section so far */
	size_t head_limit; /* in bytes */
	bool head_too_large;
	bool started;      /* the message has begun */
	bool body_allowed; /* false: a response to HEAD */
	/* URL, field names and field values, without separators. */
	struct buf text;
	size_t url_len; /* the URL is at the start of text */
	struct {
		uint32_t name_off, name_len, value_off, value_len;
	} spans[HTTPMSG_MAX_FIELDS]; /* positions of the fields in text */
	size_t n_fields;
	bool in_value;   /* the last parsed bytes belong to a value */
	bool head_begun; /* a byte other than a line break was seen */
	bool line_start; /* the next byte of the header section starts a line */
	bool head_scanned; /* the header section's final blank line was seen */
	char status_line[STATUS_LINE_BYTES]; /* of a response, its beginning */
	size_t n_status_line;
	struct evbuffer *body; /* received, not yet taken by the user */
};

/* type is HTTP_REQUEST or HTTP_RESPONSE; head_limit is in bytes. */
void httpmsg_init(
    struct httpmsg *m, enum http_parser_type type, size_t head_limit);
/* Prepares for the next message of the same connection. */
void httpmsg_reset(struct httpmsg *m);
/* Parses and removes bytes from in, up to the end of the message. */
void httpmsg_feed(struct httpmsg *m, struct evbuffer *in);
/*
 * To be called when the peer has closed the connection: this completes a
 * response that has no length, and makes any other incomplete body malformed.
 */
void httpmsg_eof(struct httpmsg *m);
/*
 * Whether the body ends by its length or its last chunk, or there is none by
 * the status or the method, so that it doesn't end with the connection.
 */
bool httpmsg_has_end(const struct httpmsg *m);
/* Whether the connection may be used for another message. */
bool httpmsg_keep_alive(const struct httpmsg *m);
/* Returns the URL of a request (RFC 9112: the request target). */
struct str httpmsg_url(const struct httpmsg *m);
struct httpmsg_field httpmsg_field(const struct httpmsg *m, size_t i);
/* Returns the value of the first field with a name; its p is NULL if none. */
struct str httpmsg_get(const struct httpmsg *m, struct str name);
/* Whether a field with the name contains the token, in a list or alone. */
bool httpmsg_has_token(
    const struct httpmsg *m, struct str name, struct str token);
/* Whether a field applies to one connection only (RFC 9110, 7.6.1). */
bool httpmsg_hop_by_hop(const struct httpmsg *m, struct str name);
/* Compares field names or tokens without regard to case. */
bool httpmsg_same_name(struct str a, struct str b);
void httpmsg_free(struct httpmsg *m);

#endif
