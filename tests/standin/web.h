/* The few parts of HTTP that every stand-in server shares, over CivetWeb. */
#ifndef STANDIN_WEB_H
#define STANDIN_WEB_H

#include <civetweb.h>
#include <jansson.h>

#include "base/clock.h"
#include "base/str.h"

typedef void (*web_fn)(
    struct mg_connection *c, const struct mg_request_info *ri);

/* Listens on "127.x.y.z:port", or a comma list of them; NULL on failure. */
struct mg_context *web_start(const char *listen, unsigned threads, web_fn fn);
/* The request's body as a JSON object (owned), or NULL. */
json_t *web_body(struct mg_connection *c);
/* Sends one JSON answer; takes over the body.  False when it can't be sent. */
bool web_json(struct mg_connection *c, int status, json_t *body);
/* As web_json(), with {"error": text}. */
void web_error(struct mg_connection *c, int status, const char *text);
/* Closes the connection without an answer. */
void web_drop(struct mg_connection *c);
/* Opens a streamed answer of the type; false when it can't be sent. */
bool web_stream(struct mg_connection *c, const char *type);
bool web_chunk(struct mg_connection *c, struct str s);
/* A query parameter; "" when it is absent. */
void web_query(
    const struct mg_request_info *ri, const char *name, char *out, size_t cap);
/* A query parameter's number, or the value for absence. */
long web_query_num(
    const struct mg_request_info *ri, const char *name, long absent);
bool web_is(
    const struct mg_request_info *ri, const char *method, const char *path);
/* When the connection was opened. */
usec_t web_opened(const struct mg_connection *c);
void web_sleep(usec_t t);
void web_sleep_until(usec_t when);

#endif
