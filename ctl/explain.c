/* sequoiactl explain: what would become of a request at a sequoiad. */
#include "ctl/client.h"
#include "ctl/hostcmd.h"
#include "ctl/session.h"
#include "platform/request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define EXPLAIN_TIMEOUT (2 * USEC_PER_SEC)
#define EXPLAIN_ID      "explain"

static const char *
text(const json_t *o, const char *key, const char *none)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s != NULL ? s : none;
}

static long long
number(const json_t *o, const char *key)
{
	return (long long)json_integer_value(json_object_get(o, key));
}

static bool
is_true(const json_t *o, const char *key)
{
	return json_is_true(json_object_get(o, key));
}

/* Appends a line, which ends as HTTP wants it however it ended before. */
static void
put_line(struct buf *out, struct str line)
{
	if (line.n > 0 && line.p[line.n - 1] == '\r')
		line.n--;
	buf_put(out, line);
	buf_put(out, STR("\r\n"));
}

/* Appends the head, up to its empty line, of what a file has. */
static void
put_head(struct buf *out, struct str file)
{
	struct str line;

	while (file.n > 0) {
		str_cut(&file, '\n', &line);
		if (line.n == 0 || str_eq(line, STR("\r")))
			break;
		put_line(out, line);
	}
	buf_put(out, STR("\r\n"));
}

static bool
read_head(const char *path, struct buf *out)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	struct buf file = { 0 };
	char bytes[4096];
	size_t n;
	bool ok;

	if (f == NULL)
		return false;
	while ((n = fread(bytes, 1, sizeof(bytes), f)) > 0)
		buf_put(&file, (struct str){ bytes, n });
	ok = ferror(f) == 0;
	put_head(out, str_of(&file));
	if (f != stdin)
		fclose(f);
	buf_free(&file);
	return ok;
}

static bool
has_field(const struct hostcmd_opts *o, struct str name)
{
	for (size_t i = 0; i < o->n_fields; i++) {
		if (strncasecmp(o->fields[i], name.p, name.n) == 0 &&
		    o->fields[i][name.n] == ':')
			return true;
	}
	return false;
}

/* Writes the head of a request from the options. */
static void
build_head(const struct hostcmd_opts *o, struct buf *out)
{
	struct str id = platform_call_id_name();

	buf_printf(out, "POST %s HTTP/1.1\r\n", o->args[1]);
	if (o->host != NULL)
		buf_printf(out, "Host: %s\r\n", o->host);
	if (!has_field(o, id))
		buf_printf(out, "%.*s: " EXPLAIN_ID "\r\n", STR_FMT(id));
	for (size_t i = 0; i < o->n_fields; i++)
		put_line(out, str_from(o->fields[i]));
	buf_put(out, STR("\r\n"));
}

static void
print_rejection(const char *what, const json_t *w)
{
	if (!json_is_object(w))
		return;
	printf("%s: %lld %s: %s", what, number(w, "status"),
	    text(w, "error", "-"), text(w, "cause", "-"));
	if (json_is_integer(json_object_get(w, "retry_after_ms")))
		printf("; Retry-After %.3f s",
		    (double)number(w, "retry_after_ms") / 1000);
	printf("\n  %s\n", text(w, "remedy", ""));
}

static void
print_route(const json_t *o)
{
	const json_t *r = json_object_get(o, "route");

	printf("request %s: %s%s\n", text(o, "id", "-"), text(o, "host", "-"),
	    text(o, "path", "-"));
	if (!json_is_object(r))
		return;
	printf("route %s of generation %lld: %s, %srepeatable, rank %lld, "
	       "objective %lld ms, timeout %lld ms, attempts %lld\n",
	    text(r, "name", "-"), number(o, "generation"), text(r, "kind", "-"),
	    is_true(r, "repeatable") ? "" : "not ", number(r, "rank"),
	    number(r, "objective_ms"), number(r, "timeout_ms"),
	    number(r, "attempts"));
	printf("workspace %s", text(o, "workspace", "none"));
	if (json_object_get(o, "rank") != NULL)
		printf(", rank of the request %lld", number(o, "rank"));
	putchar('\n');
}

static void
print_stage(const json_t *s, size_t i)
{
	if (number(s, "pieces") == 0) {
		printf(
		    "stage %zu: %s, no pieces\n", i, text(s, "service", "-"));
		return;
	}
	printf("stage %zu: %s, %lld pieces, %s, coordinator %s, domain %s, "
	       "reported wait %lld ms, usually %lld ms, at least %lld ms\n",
	    i, text(s, "service", "-"), number(s, "pieces"),
	    is_true(s, "starts") ? "starts at once" : "starts later",
	    text(s, "coordinator", "this host"), text(s, "domain", "all"),
	    number(s, "wait_ms"), number(s, "typical_ms"), number(s, "min_ms"));
}

static void
print_target(const json_t *t)
{
	const json_t *age = json_object_get(t, "report_age_ms");
	char reported[64] = "never";

	if (json_is_integer(age))
		snprintf(reported, sizeof(reported), "%lld, %lld ms ago",
		    number(t, "reported"), number(t, "report_age_ms"));
	printf("  %-16s %-21s %-8s %-10s %9lld %8.1f %9.1f  %s",
	    text(t, "id", "-"), text(t, "address", "-"),
	    text(t, "failure_domain", "-"), text(t, "state", "-"),
	    number(t, "in_flight"),
	    json_number_value(json_object_get(t, "load")),
	    json_number_value(json_object_get(t, "cost_ms")), reported);
	if (json_is_integer(json_object_get(t, "free_in_ms")))
		printf(", for another %lld ms", number(t, "free_in_ms"));
	putchar('\n');
}

static void
print_targets(const json_t *o)
{
	const json_t *list = json_object_get(o, "targets");

	printf("service %s: %zu targets\n", text(o, "service", "-"),
	    json_array_size(list));
	if (json_array_size(list) > 0)
		puts(
		    "  TARGET           ADDRESS               DOMAIN   STATE   "
		    "   IN-FLIGHT     LOAD   COST-MS  REPORTED");
	for (size_t i = 0; i < json_array_size(list); i++)
		print_target(json_array_get(list, i));
}

static void
print_choice(const json_t *o)
{
	const json_t *p = json_object_get(o, "placement");
	const char *choice = text(o, "choice", NULL);

	printf("placed by %s (%s)",
	    strcmp(text(p, "by", ""), "placer") == 0 ? "the placer"
						     : "this host",
	    text(p, "cause", "-"));
	if (text(p, "placer", NULL) != NULL)
		printf("; placer %s%s, domain %s", text(p, "placer", "-"),
		    is_true(p, "own_placer") ? " (this host)" : "",
		    text(p, "domain", "all"));
	putchar('\n');
	if (choice != NULL)
		printf("choice of this host: %s\n", choice);
	else
		print_rejection("this host has no choice",
		    json_object_get(o, "choice_rejection"));
}

static void
print_taken(const json_t *o)
{
	const json_t *stages = json_object_get(o, "stages");
	const json_t *chain = json_object_get(o, "chain");

	if (is_true(o, "resumes"))
		puts("it resumes a stream: the version that began it isn't "
		     "looked up here");
	for (size_t i = 0; i < json_array_size(stages); i++)
		print_stage(json_array_get(stages, i), i);
	if (json_array_size(stages) > 0) {
		printf("chain: %s", text(chain, "verdict", "-"));
		if (number(chain, "excess_ms") > 0)
			printf(", by %lld ms", number(chain, "excess_ms"));
		putchar('\n');
	}
	print_targets(o);
	print_choice(o);
}

static void
print_explanation(const json_t *o)
{
	print_route(o);
	if (json_object_get(o, "targets") != NULL)
		print_taken(o);
	if (json_object_get(o, "rejection") != NULL)
		print_rejection("rejected", json_object_get(o, "rejection"));
	else
		printf("next: %s\n", text(o, "next", "-"));
}

/* Prints why there is no explanation; returns the exit code. */
static int
print_failure(const char *addr, int status, const json_t *o)
{
	if (status == 0) {
		fprintf(stderr,
		    "sequoiactl: %s: no answer: name the operators' address of "
		    "a running sequoiad\n",
		    addr);
		return EXIT_UNREACHABLE;
	}
	if (status == 404)
		fprintf(stderr,
		    "sequoiactl: %s: it can't explain requests: it runs an "
		    "older version, or has no routes\n",
		    addr);
	else
		fprintf(stderr, "sequoiactl: %s: answered %d: %s\n", addr,
		    status, text(o, "detail", "no explanation"));
	return EXIT_REFUSED;
}

static int
ask(const struct hostcmd_opts *o, struct str head)
{
	struct buf out = { 0 };
	int status = client_call(
	    &(struct client_request){
		.method = "POST",
		.addr = o->args[0],
		.path = "/explain",
		.body = head,
		.timeout = EXPLAIN_TIMEOUT,
	    },
	    &out);
	json_t *answer = json_loadb(out.p, out.n, 0, NULL);
	int rc = EXIT_DONE;

	if (status != 200 || text(answer, "next", NULL) == NULL) {
		rc = print_failure(o->args[0], status, answer);
		goto done;
	}
	if (o->json) {
		json_dumpf(answer, stdout, JSON_COMPACT | JSON_SORT_KEYS);
		putchar('\n');
	} else {
		print_explanation(answer);
	}
	if (json_object_get(answer, "rejection") != NULL)
		rc = EXIT_REFUSED;
done:
	json_decref(answer);
	buf_free(&out);
	return rc;
}

int
hostcmd_explain(const struct hostcmd_opts *o)
{
	struct buf head = { 0 };
	int rc = EXIT_USAGE;

	if (o->n != (o->file != NULL ? 1 : 2)) {
		fprintf(stderr,
		    "sequoiactl: explain: name the operators' address of a "
		    "sequoiad, IP:PORT, and a PATH or --file\n");
		goto done;
	}
	if (o->file != NULL && (o->host != NULL || o->n_fields > 0)) {
		fprintf(stderr,
		    "sequoiactl: explain: with --file, host and headers are "
		    "those of the file\n");
		goto done;
	}
	if (o->file == NULL) {
		build_head(o, &head);
	} else if (!read_head(o->file, &head)) {
		fprintf(stderr, "sequoiactl: %s: can't be read\n", o->file);
		goto done;
	}
	rc = ask(o, str_of(&head));
done:
	buf_free(&head);
	return rc;
}
