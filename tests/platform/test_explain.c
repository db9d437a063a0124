/*
 * Explanations of requests: what a host says would become of a request must be
 * what becomes of it when it is sent right after.  Guards against a second copy
 * of a decision that differs from the one that requests use, and against an
 * explanation that sends, counts or changes something: with a random number
 * drawn or a turn taken by it, the request would go elsewhere than it said.
 */
#include "tests/platform/harness.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define STORE_PORT      24780
#define TARGET_PORT     24781
#define HOST_PORT       24790
#define OLD_PORT        24798 /* answers as a host without explanations */
#define UNUSED_PORT     24799
#define TIMEOUT_SECONDS 20
#define STATE_MS        1500 /* left of a rest or pause, for the case */
#define ASK_MS          2000
#define DEADLINE_MS     5000
/* Rests end within it; the time between the explanation and the request. */
#define RETRY_SLACK_MS  300
#define STAGED          "X-Pieces: 2,3\r\nX-Piece-Key: pk\r\n"
#define ROUNDS          24 /* requests of one case, if it has two targets */

/* What happens before a case; it stays so for those after it. */
enum change {
	CHANGE_NONE,
	CHANGE_ENGINES,  /* targets of the service engine appear */
	CHANGE_REST,     /* p1 rests */
	CHANGE_EVACUATE, /* the domain d3, of p2, e2 and s2 */
	CHANGE_FAILURE   /* e1 fails, and is set aside */
};

static const struct explain_case {
	const char *name;
	const char *path;
	const char *fields;
	const char *key;
	int deadline_ms; /* 0: the default */
	enum change change;
	const char *next;
	const char *error; /* of the rejection; NULL: none */
	int status;
	const char *choice;    /* "*": any, but that of the request */
	const char *states[2]; /* of the first targets; NULL: not checked */
	int rounds;            /* 0: 1 */
} cases[] = {
	{ .name = "unknown-route",
	    .path = "/nowhere/1",
	    .next = "rejected",
	    .error = "no-pipeline" },
	{ .name = "unknown-key",
	    .path = "/safe/1",
	    .key = "no key",
	    .next = "rejected",
	    .error = "bad-token" },
	{ .name = "too-many-pieces",
	    .path = "/stream/staged/1",
	    .fields = "X-Pieces: 5000\r\n",
	    .next = "rejected",
	    .error = "bad-header" },
	{ .name = "no-targets",
	    .path = "/stream/1",
	    .next = "rejected",
	    .error = "no-target" },
	{ .name = "plain",
	    .path = "/safe/1",
	    .next = "target",
	    .choice = "*",
	    .states = { "usable", "usable" },
	    .rounds = ROUNDS },
	{ .name = "engine",
	    .path = "/stream/1",
	    .change = CHANGE_ENGINES,
	    .next = "target",
	    .choice = "*",
	    .states = { "usable", "usable" },
	    .rounds = ROUNDS },
	{ .name = "staged",
	    .path = "/stream/staged/1",
	    .fields = STAGED,
	    .next = "stages",
	    .choice = "*" },
	{ .name = "no-stages-needed",
	    .path = "/stream/staged/1",
	    .next = "target",
	    .choice = "*" },
	{ .name = "staged-without-time",
	    .path = "/stream/staged/1",
	    .fields = STAGED,
	    .deadline_ms = 100,
	    .next = "rejected",
	    .error = "no-time" },
	{ .name = "resting",
	    .path = "/safe/1",
	    .change = CHANGE_REST,
	    .next = "target",
	    .choice = "p2",
	    .states = { "resting", "usable" } },
	{ .name = "resting-and-evacuated",
	    .path = "/safe/1",
	    .change = CHANGE_EVACUATE,
	    .next = "rejected",
	    .error = "no-target",
	    .states = { "resting", "evacuated" } },
	{ .name = "evacuated-stages",
	    .path = "/stream/staged/1",
	    .fields = STAGED,
	    .next = "stages",
	    .choice = "e1",
	    .states = { "usable", "evacuated" } },
	{ .name = "set-aside",
	    .path = "/stream/1",
	    .change = CHANGE_FAILURE,
	    .next = "target",
	    .choice = "e1",
	    .states = { "set-aside", "evacuated" } },
};

/* As far from the host, in d1, each: the choice is random. */
static const struct fakeplat_target targets[] = {
	{ "p1", "plain", "d2", TARGET_PORT },
	{ "p2", "plain", "d3", TARGET_PORT + 1 },
	{ "e1", "engine", "d2", TARGET_PORT + 2 },
	{ "e2", "engine", "d3", TARGET_PORT + 3 },
	{ "s1", "pool", "d2", TARGET_PORT + 4 },
	{ "s2", "pool", "d3", TARGET_PORT + 5 },
};

static const char *const usable[2] = { "usable", "usable" };
static const char *const evacuated[2] = { NULL, "evacuated" };

static struct fakeplat *platform;
static struct harness_host host = {
	.port = HOST_PORT, .store_port = STORE_PORT, .id = "h1"
};
static int n_ids;

static void
add_targets(const char *service)
{
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		if (strcmp(targets[i].service, service) == 0)
			fakeplat_add_target(platform, &targets[i]);
	}
}

/* Sends a request to the operators' server. */
static int
ask(const char *method, const char *path, const char *body, struct buf *out)
{
	g_autofree char *q =
	    g_strdup_printf("%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
		method, path, strlen(body), body);
	struct harness_response a;
	int status;

	harness_exchange(HOST_PORT + 1, str_from(q), ASK_MS, &a);
	status = a.status;
	buf_clear(out);
	buf_put(out, str_of(&a.body));
	harness_response_free(&a);
	return status;
}

/* Returns the counters that requests of callers change, one a line. */
static char *
counters(void)
{
	static const char *const names[] = { "requests", "calls", "stage",
		"stop", "plac", "lost", "silent" };
	GString *out = g_string_new("");
	struct buf text = { 0 };
	struct str rest;
	struct str line;

	g_assert_cmpint(ask("GET", "/metrics", "", &text), ==, 200);
	rest = str_of(&text);
	while (rest.n > 0 && str_cut(&rest, '\n', &line)) {
		for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
			g_autofree char *start =
			    g_strconcat("sequoia_", names[i], NULL);

			if (str_has_prefix(line, str_from(start)))
				g_string_append_printf(
				    out, "%.*s\n", STR_FMT(line));
		}
	}
	buf_free(&text);
	g_assert_nonnull(strstr(out->str, "sequoia_requests_total"));
	g_assert_nonnull(strstr(out->str, "sequoia_stage_pieces_total"));
	return g_string_free(out, FALSE);
}

static json_t *
explain(const char *head)
{
	struct buf text = { 0 };
	json_t *o;

	g_assert_cmpint(ask("POST", "/explain", head, &text), ==, 200);
	o = json_loadb(text.p, text.n, 0, NULL);
	g_assert_nonnull(o);
	buf_free(&text);
	return o;
}

static const char *
text_of(const json_t *o, const char *name)
{
	return json_string_value(json_object_get(o, name));
}

static json_int_t
number_of(const json_t *o, const char *name)
{
	g_assert_true(json_is_integer(json_object_get(o, name)));
	return json_integer_value(json_object_get(o, name));
}

static const char *
state_of(const json_t *o, size_t i)
{
	return text_of(
	    json_array_get(json_object_get(o, "targets"), i), "state");
}

/*
 * Explains until the targets have these states: one that stood still, as the
 * whole test may beside load, is set aside for some seconds.
 */
static void
wait_for_states(const char *path, const char *const states[2])
{
	usec_t end = clock_now() + TIMEOUT_SECONDS * USEC_PER_SEC;
	g_autofree char *head = harness_format(
	    &(struct harness_request){ .path = path, .id = "waiting" });

	for (;;) {
		json_t *o = explain(head);
		bool there = true;

		for (size_t i = 0; i < 2; i++)
			there = there &&
			    (states[i] == NULL ||
				g_strcmp0(state_of(o, i), states[i]) == 0);
		json_decref(o);
		if (there)
			return;
		g_assert_cmpint(clock_now(), <, end);
		g_usleep(10 * USEC_PER_MSEC);
	}
}

/*
 * Sends requests until the first target of their service has a state, and still
 * has it for a while.
 */
static void
send_until(const char *path, const char *state)
{
	usec_t end = clock_now() + TIMEOUT_SECONDS * USEC_PER_SEC;
	bool there = false;

	while (!there) {
		g_autofree char *id = g_strdup_printf("before-%d", n_ids++);
		g_autofree char *q = harness_format(
		    &(struct harness_request){ .path = path, .id = id });
		struct harness_response a;
		json_t *o;

		g_assert_cmpint(clock_now(), <, end);
		harness_exchange(HOST_PORT, str_from(q), ASK_MS, &a);
		harness_response_free(&a);
		o = explain(q);
		there = g_strcmp0(state_of(o, 0), state) == 0 &&
		    number_of(json_array_get(json_object_get(o, "targets"), 0),
			"free_in_ms") > STATE_MS;
		json_decref(o);
	}
}

static void
apply(enum change change)
{
	switch (change) {
	case CHANGE_NONE:
		break;
	case CHANGE_ENGINES:
		add_targets("engine");
		wait_for_states("/stream/1", usable);
		break;
	case CHANGE_REST:
		fakeplat_set_rest(platform, "p1", "300");
		send_until("/safe/1", "resting");
		break;
	case CHANGE_EVACUATE:
		fakeplat_put(platform, "op/evacuate/d3", "1");
		wait_for_states("/safe/1", evacuated);
		break;
	case CHANGE_FAILURE:
		fakeplat_stop_target(platform, "e1", true);
		send_until("/stream/1", "set-aside");
		fakeplat_stop_target(platform, "e1", false);
		break;
	}
}

static void
check_rejection(
    const struct explain_case *x, const json_t *o, const struct str *answer)
{
	const json_t *w = json_object_get(o, "rejection");
	g_autofree char *raw = g_strndup(answer->p, answer->n);
	const char *after = strstr(raw, "Retry-After: ");

	g_assert_cmpstr(text_of(w, "error"), ==, x->error);
	g_assert_cmpint(number_of(w, "status"), ==, strtol(raw + 9, NULL, 10));
	g_assert_nonnull(strstr(raw, text_of(w, "cause")));
	g_assert_cmpint(json_is_null(json_object_get(w, "retry_after_ms")), ==,
	    after == NULL);
	if (after != NULL)
		g_assert_cmpfloat(
		    ABS(g_ascii_strtod(after + strlen("Retry-After: "), NULL) *
			    1000 -
			(double)number_of(w, "retry_after_ms")),
		    <=, RETRY_SLACK_MS);
}

static void
check_stages(const json_t *o)
{
	const json_t *list = json_object_get(o, "stages");
	const json_t *first = json_array_get(list, 0);
	const json_t *second = json_array_get(list, 1);

	g_assert_cmpint(json_array_size(list), ==, 2);
	g_assert_cmpstr(text_of(first, "service"), ==, "pool");
	g_assert_cmpint(number_of(first, "pieces"), ==, 2);
	g_assert_cmpint(number_of(second, "pieces"), ==, 3);
	g_assert_true(json_is_true(json_object_get(first, "starts")));
	g_assert_true(json_is_false(json_object_get(second, "starts")));
	/* The only host coordinates. */
	g_assert_true(json_is_null(json_object_get(first, "coordinator")));
	g_assert_cmpstr(
	    text_of(json_object_get(o, "chain"), "verdict"), ==, "fits");
}

static void
check_explanation(const struct explain_case *x, const json_t *o)
{
	const char *choice = text_of(o, "choice");

	g_assert_cmpstr(text_of(o, "next"), ==, x->next);
	g_assert_cmpint(
	    json_object_get(o, "rejection") != NULL, ==, x->error != NULL);
	if (x->choice != NULL)
		g_assert_nonnull(choice);
	if (x->choice != NULL && strcmp(x->choice, "*") != 0)
		g_assert_cmpstr(choice, ==, x->choice);
	if (strcmp(x->next, "stages") == 0)
		check_stages(o);
	if (x->error != NULL && choice == NULL)
		return;
	g_assert_cmpstr(text_of(o, "workspace"), ==, "yard");
	g_assert_cmpint(
	    number_of(json_object_get(o, "route"), "attempts"), ==, 2);
	g_assert_cmpint(
	    number_of(json_object_get(o, "route"), "objective_ms"), ==, 1000);
}

/*
 * Checks that the request was sent, at first to this target unless it is NULL.
 * By the log of the host, as a target that stands still beside load doesn't get
 * what was sent to it.
 */
static void
check_sent(const char *id, const char *target)
{
	g_autofree char *path = g_strdup_printf("%s/h1.log", host.dir);
	g_autofree char *mark =
	    g_strdup_printf("event=call-sent request=\"%s\" target=\"", id);
	g_autofree char *log = NULL;
	g_autofree char *to = NULL;
	const char *line;

	g_assert_true(harness_wait_log(&host, mark, TIMEOUT_SECONDS));
	g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
	line = strstr(log, mark) + strlen(mark);
	to = g_strndup(line, strcspn(line, "\""));
	if (target != NULL)
		g_assert_cmpstr(to, ==, target);
}

/* Waits for the calls that free the results of requests that have ended. */
static void
wait_for_frees(void)
{
	usec_t end = clock_now() + TIMEOUT_SECONDS * USEC_PER_SEC;
	uint32_t pieces, calls;

	fakeplat_piece_counts(platform, &pieces, &calls);
	while (fakeplat_freed_results(platform) < pieces) {
		g_assert_cmpint(clock_now(), <, end);
		g_usleep(10 * USEC_PER_MSEC);
	}
}

/* Explains a request, then sends it and compares. */
static void
play(const struct explain_case *x)
{
	g_autofree char *id = g_strdup_printf("explained-%d", n_ids++);
	g_autofree char *q = harness_format(&(struct harness_request){
	    .path = x->path,
	    .id = id,
	    .api_key = x->key,
	    .extra_fields = x->fields,
	    .deadline_ms = x->deadline_ms,
	});
	struct fakeplat_attempt attempt;
	struct harness_response a;
	struct str raw;
	g_autofree char *before = NULL;
	g_autofree char *after = NULL;
	uint32_t pieces[2];
	uint32_t calls[2];
	json_t *o;

	if (x->states[0] != NULL)
		wait_for_states(x->path, x->states);
	wait_for_frees();
	before = counters();
	fakeplat_piece_counts(platform, &pieces[0], &calls[0]);
	o = explain(q);
	after = counters();
	fakeplat_piece_counts(platform, &pieces[1], &calls[1]);
	g_assert_cmpstr(after, ==, before);
	g_assert_cmpuint(pieces[1], ==, pieces[0]);
	g_assert_cmpuint(calls[1], ==, calls[0]);
	g_assert_false(fakeplat_get_attempt(platform, id, &attempt));
	check_explanation(x, o);
	harness_exchange(HOST_PORT, str_from(q), DEADLINE_MS, &a);
	raw = str_of(&a.raw);
	if (x->error != NULL) {
		check_rejection(x, o, &raw);
		g_assert_false(fakeplat_get_attempt(platform, id, &attempt));
	} else if (strcmp(x->next, "target") == 0) {
		check_sent(id, text_of(o, "choice"));
	} else {
		/* Its stages ran: the request itself came after them. */
		check_sent(id, NULL);
	}
	harness_response_free(&a);
	json_decref(o);
}

static void
test_requests(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("%s", cases[i].name);
		apply(cases[i].change);
		for (int k = 0; k < MAX(cases[i].rounds, 1); k++)
			play(&cases[i]);
	}
}

static const struct {
	const char *method, *head;
	int status;
} heads[] = {
	{ "POST", "", 400 },
	{ "POST", "no head\r\n\r\n", 400 },
	{ "POST", "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\n", 400 },
	{ "POST", "GET /safe/1 HTTP/1.1\r\nBad Name: x\r\n\r\n", 400 },
	{ "POST", "GET /safe/1 HTTP/1.1\r\nHost: \xff\r\n\r\n", 200 },
	{ "GET", "", 405 },
};

static void
test_heads(void)
{
	struct buf text = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		json_t *o;

		g_assert_cmpint(
		    ask(heads[i].method, "/explain", heads[i].head, &text), ==,
		    heads[i].status);
		o = json_loadb(text.p, text.n, 0, NULL);
		g_assert_nonnull(
		    text_of(o, heads[i].status == 200 ? "next" : "detail"));
		json_decref(o);
	}
	buf_free(&text);
}

static const struct {
	uint16_t port;
	const char *arg;  /* after the address */
	const char *more; /* or NULL */
	int status;       /* of sequoiactl */
	const char *text; /* in its output */
} tool_cases[] = {
	{ HOST_PORT + 1, "/safe/1", "X-Api-Key: key-of-yard", 1, "resting" },
	{ HOST_PORT + 1, "/stream/1", "X-Api-Key: key-of-yard", 0,
	    "choice of this host: e1" },
	{ HOST_PORT + 1, "/stream/1", NULL, 1, "bad-token" },
	{ HOST_PORT + 1, "/nowhere", NULL, 1, "no route has this host" },
	{ HOST_PORT + 1, "not a path", NULL, 1, "malformed" },
	{ OLD_PORT, "/safe/1", NULL, 1, "older version" },
	{ STORE_PORT, "/safe/1", NULL, 1, "no explanation" },
	{ UNUSED_PORT, "/safe/1", NULL, 3, "no answer" },
	{ HOST_PORT + 1, "--file=/dev/null", NULL, 2, "with --file" },
	{ HOST_PORT + 1, "--json", "X-Api-Key: key-of-yard", 2, "PATH" },
};

/* Answers one request as an older host does. */
static void *
answer_as_older(void *arg)
{
	static const char answer[] = "HTTP/1.1 404 Not Found\r\n"
				     "Content-Length: 0\r\n"
				     "Connection: close\r\n\r\n";
	int fd = accept(*(const int *)arg, NULL, NULL);
	char bytes[4096];

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(recv(fd, bytes, sizeof(bytes), 0), >, 0);
	g_assert_cmpint(send(fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL), ==,
	    sizeof(answer) - 1);
	shutdown(fd, SHUT_WR);
	while (recv(fd, bytes, sizeof(bytes), 0) > 0)
		;
	close(fd);
	return NULL;
}

static int
listen_on(uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	g_assert_cmpint(
	    bind(fd, (struct sockaddr *)&addr, sizeof(addr)), ==, 0);
	g_assert_cmpint(listen(fd, 1), ==, 0);
	return fd;
}

static void
test_tool(void)
{
	int old_fd = listen_on(OLD_PORT);
	pthread_t old_host;

	g_assert_cmpint(
	    pthread_create(&old_host, NULL, answer_as_older, &old_fd), ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(tool_cases); i++) {
		g_autofree char *addr =
		    g_strdup_printf("127.0.0.1:%u", tool_cases[i].port);
		const char *argv[] = { g_getenv("SEQUOIACTL"), "explain", addr,
			tool_cases[i].arg, "--host=a.example",
			tool_cases[i].more != NULL ? "-H" : NULL,
			tool_cases[i].more, NULL };
		g_autofree char *out = NULL;
		g_autofree char *err = NULL;
		g_autofree char *all = NULL;
		int status;

		g_assert_true(g_spawn_sync(NULL, (char **)argv, NULL,
		    G_SPAWN_DEFAULT, NULL, NULL, &out, &err, &status, NULL));
		all = g_strconcat(out, err, NULL);
		g_test_message("%s", all);
		g_assert_true(WIFEXITED(status));
		g_assert_cmpint(WEXITSTATUS(status), ==, tool_cases[i].status);
		g_assert_nonnull(strstr(all, tool_cases[i].text));
		/* Keys are not shown. */
		g_assert_null(strstr(all, "key-of-yard"));
	}
	pthread_join(old_host, NULL);
	close(old_fd);
}

/* A file with the head of a request, with line feeds only. */
static void
test_file(void)
{
	g_autofree char *path = g_strdup_printf("%s/head", host.dir);
	const char *argv[] = { g_getenv("SEQUOIACTL"), "explain",
		"127.0.0.1:24791", "--json", "--file", path, NULL };
	g_autofree char *out = NULL;
	json_t *o;
	int status;

	g_assert_true(g_file_set_contents(path,
	    "POST /stream/1 HTTP/1.1\nHost: a.example\nX-Attempt-Id: f\n"
	    "X-Api-Key: key-of-yard\n\nbody",
	    -1, NULL));
	g_assert_true(g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_DEFAULT,
	    NULL, NULL, &out, NULL, &status, NULL));
	g_assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	o = json_loads(out, 0, NULL);
	g_assert_cmpstr(text_of(o, "choice"), ==, "e1");
	g_assert_cmpstr(text_of(o, "id"), ==, "f");
	json_decref(o);
}

/* A host that asks a placer, here its own: that decides, not this host. */
static void
test_placer(void)
{
	g_autofree char *q = harness_format(&(struct harness_request){
	    .path = "/stream/1", .id = "explained-placed" });
	struct harness_response a;
	usec_t end;
	g_autofree char *log_path = NULL;
	g_autofree char *log = NULL;
	const char *log_of_id;
	const json_t *place;
	json_t *o;

	kill(host.pid, SIGTERM);
	g_assert_cmpint(harness_wait_exit(&host), ==, 0);
	host.placer_min_hosts = 1;
	harness_start_host(&host);
	g_assert_true(harness_wait_ready(&host, TIMEOUT_SECONDS));
	end = clock_now() + TIMEOUT_SECONDS * USEC_PER_SEC;
	for (;;) {
		o = explain(q);
		if (strcmp(text_of(o, "next"), "placer") == 0)
			break;
		json_decref(o);
		g_assert_cmpint(clock_now(), <, end);
		g_usleep(10 * USEC_PER_MSEC);
	}
	place = json_object_get(o, "placement");
	g_assert_cmpstr(text_of(place, "by"), ==, "placer");
	g_assert_true(json_is_true(json_object_get(place, "own_placer")));
	g_assert_cmpstr(text_of(place, "placer"), ==, "127.0.0.1:24792");
	json_decref(o);
	/* A placer that has just begun leaves the decision to the host. */
	do {
		g_assert_cmpint(clock_now(), <, end);
		harness_exchange(HOST_PORT, str_from(q), DEADLINE_MS, &a);
		harness_response_free(&a);
	} while (!harness_wait_log(&host, "placed=\"by 127.0.0.1:24792", 1));
	log_path = g_strdup_printf("%s/h1.log", host.dir);
	g_assert_true(g_file_get_contents(log_path, &log, NULL, NULL));
	log_of_id = strstr(log, "call-sent request=\"explained-placed\"");
	g_assert_nonnull(log_of_id);
	g_assert_null(strstr(log_of_id, "not-asked"));
	g_assert_null(strstr(log_of_id, "no-placer"));
}

int
main(int argc, char **argv)
{
	g_autofree char *config = harness_config(1, NULL);
	g_autofree char *dir = g_dir_make_tmp("explain-XXXXXX", NULL);
	int rc;

	g_test_init(&argc, &argv, NULL);
	platform = fakeplat_start(STORE_PORT);
	add_targets("plain");
	add_targets("pool");
	fakeplat_put(platform, "op/config", config);
	g_strlcpy(host.dir, dir, sizeof(host.dir));
	harness_start_host(&host);
	g_assert_true(harness_wait_ready(&host, TIMEOUT_SECONDS));
	wait_for_states("/safe/1", usable);
	g_test_add_func("/explain/requests", test_requests);
	g_test_add_func("/explain/heads", test_heads);
	g_test_add_func("/explain/tool", test_tool);
	g_test_add_func("/explain/file", test_file);
	g_test_add_func("/explain/placer", test_placer);
	rc = g_test_run();
	kill(host.pid, SIGTERM);
	g_assert_cmpint(harness_wait_exit(&host), ==, 0);
	fakeplat_stop(platform);
	return rc;
}
