#include "ctl/hostcmd.h"
#include "base/rng.h"
#include "ctl/client.h"
#include "ctl/session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_WAIT_TIMEOUT (3600 * USEC_PER_SEC)
#define DRAIN_TIMEOUT     (2 * USEC_PER_SEC)
#define MAX_HEADERS       6
#define PPM_PER_PERCENT   10000 /* parts per million in a percent */

static const char *
text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s != NULL ? s : "-";
}

static long long
number(const json_t *o, const char *name)
{
	return (long long)json_integer_value(json_object_get(o, name));
}

static void
print_target(const json_t *t)
{
	printf("  %-16s %-21s %-8s %-8s %9lld %8.2f %s\n", text(t, "service"),
	    text(t, "address"), text(t, "failure_domain"), text(t, "state"),
	    number(t, "in_flight"),
	    json_number_value(json_object_get(t, "load")),
	    json_is_true(json_object_get(t, "set_aside")) ? "set aside" : "");
}

static void
print_member(const json_t *m)
{
	printf("  %-16s %-21s %-8s %-8s %10lld\n", text(m, "id"),
	    text(m, "operators"), text(m, "failure_domain"), text(m, "state"),
	    number(m, "generation"));
}

static void
print_limit(const json_t *l)
{
	printf("  %-16s %9lld %9lld %9lld %8.1f%%\n", text(l, "workspace"),
	    number(l, "arrived"), number(l, "tokens"), number(l, "in_flight"),
	    (double)number(l, "share_ppm") / PPM_PER_PERCENT);
}

static void
print_evacuation(const json_t *e)
{
	printf("  %-16s %9lld s  %-6s %10lld %s\n", text(e, "failure_domain"),
	    number(e, "age_ms") / 1000, text(e, "source"),
	    number(e, "revision"),
	    json_is_true(json_object_get(e, "missing"))
		? "missing in a restored store"
		: "");
}

/* Prints a heading and one line per object; nothing for an empty list. */
static void
print_list(
    const json_t *list, const char *heading, void (*print)(const json_t *))
{
	if (json_array_size(list) == 0)
		return;
	puts(heading);
	for (size_t i = 0; i < json_array_size(list); i++)
		print(json_array_get(list, i));
}

static void
print_status(const char *addr, const json_t *o)
{
	printf("%s at %s, failure domain %s: %s, generation %lld, "
	       "%lld requests in flight\n",
	    text(o, "id"), addr, text(o, "failure_domain"),
	    json_is_true(json_object_get(o, "ready")) ? "ready" : "not ready",
	    number(o, "generation"), number(o, "requests_in_flight"));
	print_list(json_object_get(o, "evacuated"),
	    "  EVACUATED DOMAIN       AGE  SOURCE   REVISION",
	    print_evacuation);
	print_list(json_object_get(o, "members"),
	    "  SEQUOIAD         OPERATORS             DOMAIN   STATE    "
	    "GENERATION",
	    print_member);
	print_list(json_object_get(o, "limits"),
	    "  WORKSPACE          ARRIVED    TOKENS IN-FLIGHT     SHARE",
	    print_limit);
	print_list(json_object_get(o, "targets"),
	    "  SERVICE          TARGET                DOMAIN   STATE    "
	    "IN-FLIGHT     LOAD",
	    print_target);
}

static int
show_status(const char *addr, bool json)
{
	json_t *o = client_get(addr, "/status");

	if (o == NULL) {
		fprintf(stderr,
		    "sequoiactl: %s: no answer: name the operators' address of "
		    "a running sequoiad\n",
		    addr);
		return EXIT_UNREACHABLE;
	}
	if (json) {
		json_dumpf(o, stdout, JSON_COMPACT | JSON_SORT_KEYS);
		putchar('\n');
	} else {
		print_status(addr, o);
	}
	json_decref(o);
	return EXIT_DONE;
}

int
hostcmd_status(const struct hostcmd_opts *o)
{
	int rc = EXIT_DONE;

	if (o->n == 0)
		return show_status(o->operators_addr, o->json);
	for (size_t i = 0; i < o->n; i++) {
		if (show_status(o->args[i], o->json) != EXIT_DONE)
			rc = EXIT_UNREACHABLE;
	}
	return rc;
}

/* Appends a UUID version 7 (RFC 9562) of the current time. */
static void
put_new_key(struct buf *out)
{
	uint64_t ms = (uint64_t)(clock_wall() / USEC_PER_MSEC);
	uint64_t a = rng_entropy();
	uint64_t b = rng_entropy();

	buf_printf(out, "%08x-%04x-7%03x-%04x-%012llx", (unsigned)(ms >> 16),
	    (unsigned)(ms & 0xffff), (unsigned)(a & 0xfff),
	    (unsigned)(0x8000 | (a >> 16 & 0x3fff)),
	    (unsigned long long)(b & 0xffffffffffff));
}

static void
put_header(struct buf *headers, size_t *n, const char *name, const char *value)
{
	if (value != NULL)
		buf_printf(&headers[(*n)++], "%s: %s", name, value);
}

/* Fills in the header lines of a call; returns their number. */
static size_t
fill_headers(const struct hostcmd_opts *o, struct buf headers[MAX_HEADERS])
{
	struct buf key = { 0 };
	struct buf bearer = { 0 };
	size_t n = 0;

	buf_printf(&bearer, "Bearer %s", o->token);
	put_header(headers, &n, "Authorization", bearer.p);
	if (o->key != NULL && strcmp(o->key, "new") == 0) {
		put_new_key(&key);
		fprintf(stderr, "Idempotency-Key: %s\n", key.p);
	}
	put_header(headers, &n, "Idempotency-Key", key.n > 0 ? key.p : o->key);
	put_header(headers, &n, "Sequoia-Attempt", o->attempt);
	put_header(headers, &n, "Sequoia-Timeout-Ms", o->timeout_ms);
	put_header(
	    headers, &n, "Accept", o->stream ? "text/event-stream" : NULL);
	buf_free(&key);
	buf_free(&bearer);
	return n;
}

static void
read_input(struct buf *out)
{
	char chunk[4096];
	size_t n;

	while ((n = fread(chunk, 1, sizeof(chunk), stdin)) > 0)
		buf_put(out, (struct str){ chunk, n });
}

/* Returns the exit code for the answer to a call. */
static int
exit_code_of(const struct hostcmd_opts *o, int status, const struct buf *out)
{
	if (status == 0) {
		fprintf(stderr,
		    "sequoiactl: %s: no answer: the outcome is unknown; with a "
		    "key, send the request again with the same key\n",
		    o->callers_addr);
		return EXIT_UNREACHABLE;
	}
	if (status != 200 ||
	    (o->stream && out->n > 0 &&
		strstr(out->p, "event: answer") == NULL))
		return EXIT_REFUSED;
	return EXIT_DONE;
}

int
hostcmd_call(const struct hostcmd_opts *o)
{
	struct buf headers[MAX_HEADERS] = { { 0 } };
	const char *list[MAX_HEADERS + 1] = { NULL };
	struct buf path = { 0 };
	struct buf body = { 0 };
	struct buf out = { 0 };
	size_t n;
	int status;
	int rc;

	if (o->n == 0 || o->token == NULL) {
		fprintf(stderr,
		    "sequoiactl: call: name a pipeline, and give the token by "
		    "--token or SEQUOIA_TOKEN\n");
		return EXIT_USAGE;
	}
	if (o->n > 1)
		buf_put(&body, str_from(o->args[1]));
	else
		read_input(&body);
	n = fill_headers(o, headers);
	for (size_t i = 0; i < n; i++)
		list[i] = headers[i].p;
	buf_printf(&path, "/v1/pipelines/%s", o->args[0]);
	status = client_call(
	    &(struct client_request){
		.method = "POST",
		.addr = o->callers_addr,
		.path = path.p,
		.headers = list,
		.body = str_of(&body),
		.timeout = CALL_WAIT_TIMEOUT,
		.echo = true,
	    },
	    &out);
	putchar('\n');
	rc = exit_code_of(o, status, &out);
	for (size_t i = 0; i < n; i++)
		buf_free(&headers[i]);
	buf_free(&path);
	buf_free(&body);
	buf_free(&out);
	return rc;
}

int
hostcmd_drain(const struct hostcmd_opts *o)
{
	struct buf out = { 0 };
	int status;

	if (o->n != 1) {
		fprintf(stderr,
		    "sequoiactl: drain: name the operators' address of one "
		    "sequoiad, IP:PORT\n");
		return EXIT_USAGE;
	}
	status = client_call(
	    &(struct client_request){
		.method = "POST",
		.addr = o->args[0],
		.path = "/drain",
		.body = STR("{}"),
		.timeout = DRAIN_TIMEOUT,
	    },
	    &out);
	buf_free(&out);
	if (status == 0) {
		fprintf(stderr,
		    "sequoiactl: %s: no answer: name the operators' address of "
		    "a running sequoiad\n",
		    o->args[0]);
		return EXIT_UNREACHABLE;
	}
	if (status != 202) {
		fprintf(stderr, "sequoiactl: %s: answered %d: not draining\n",
		    o->args[0], status);
		return EXIT_REFUSED;
	}
	printf("%s: draining\n", o->args[0]);
	return EXIT_DONE;
}
