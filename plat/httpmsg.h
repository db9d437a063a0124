/*
 * HTTP/1.1 messages on an evbuffer, parsed by libhttp-parser.
 *
 * The same reader serves both directions.  It stops after each message, so
 * that bytes which follow stay in the evbuffer; it refuses what could be read
 * in two ways (two lengths, a length beside chunks, a malformed chunk, a field
 * over several lines).
 */
#ifndef PLAT_HTTPMSG_H
#define PLAT_HTTPMSG_H

#include "base/str.h"

#include <event2/buffer.h>
#include <http_parser.h>

#define HTTPMSG_MAX_FIELDS 200

struct httpmsg_field {
	struct str name;
	struct str value;
};

enum httpmsg_state {
	HTTPMSG_HEAD, /* the head is not whole */
	HTTPMSG_BODY, /* the head is whole */
	HTTPMSG_DONE,
	HTTPMSG_BAD
};

struct httpmsg {
	struct http_parser parser;
	enum httpmsg_state state;
	size_t head_bytes; /* read so far */
	size_t head_limit;
	bool head_too_large;
	bool started;      /* a byte of this message has come */
	bool body_allowed; /* false: an answer to HEAD */
	struct buf text;   /* target, names and values, each NUL-terminated */
	size_t url_len;
	struct {
		uint32_t name_at, name_n, value_at, value_n;
	} spans[HTTPMSG_MAX_FIELDS];
	size_t n_fields;
	bool in_value;
	bool line_start;       /* the next byte of the head begins a line */
	bool head_scanned;     /* the head's last line has come */
	struct evbuffer *body; /* what came and was not taken */
};

/* type: HTTP_REQUEST or HTTP_RESPONSE. */
void httpmsg_init(
    struct httpmsg *m, enum http_parser_type type, size_t head_limit);
/* Ready for the next message of the same connection. */
void httpmsg_reset(struct httpmsg *m);
/* Takes bytes from in, up to the end of this message. */
void httpmsg_feed(struct httpmsg *m, struct evbuffer *in);
/* The peer has closed; an answer without a length is whole with that. */
void httpmsg_eof(struct httpmsg *m);
/* Whether the connection may be used for another message. */
bool httpmsg_keep_alive(const struct httpmsg *m);
struct str httpmsg_url(const struct httpmsg *m);
struct httpmsg_field httpmsg_field(const struct httpmsg *m, size_t i);
/* The value of the first field of that name; p is NULL if there is none. */
struct str httpmsg_get(const struct httpmsg *m, struct str name);
/* Whether a field of that name, as a list of tokens, has the token. */
bool httpmsg_has_token(
    const struct httpmsg *m, struct str name, struct str token);
/* A field that concerns one connection only (RFC 9110, 7.6.1). */
bool httpmsg_hop_by_hop(const struct httpmsg *m, struct str name);
bool httpmsg_same_name(struct str a, struct str b);
void httpmsg_free(struct httpmsg *m);

#endif
