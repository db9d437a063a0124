/* The cases: what clients send, what runners answer, and what is judged. */
#include "plat3.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOSTS 3

/* A configuration with one route; the rest of its JSON is text. */
static void
put_config(const char *route, const char *service)
{
	char text[2048];

	snprintf(text, sizeof(text),
	    "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"a.example\","
	    "\"Prefix\":\"/r/\",\"SloMs\":1000,\"Priority\":0,"
	    "\"Public\":false,%s}],\"Services\":[%s],"
	    "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
	    "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
	    "\"Tenants\":[{\"Name\":\"yard\",\"ApiKeys\":[\"" API_KEY "\"]}]}",
	    route, service);
	store_put("op/config", text);
}

static bool
send_request(int fd, const char *method, const char *id, long deadline_ms,
    const char *fields)
{
	return send_text(fd,
	    "%s /r/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n"
	    "X-Deadline-Ms: %ld\r\nX-Api-Key: " API_KEY "\r\n%s\r\n",
	    method, id, deadline_ms, fields);
}

static int
status_of(const struct message *m)
{
	return atoi(m->head + strlen("HTTP/1.1 "));
}

/* refused: a runner fails with 503 after it has run the request. */

#define LEDGERS       8
#define PAYMENTS      200
#define PAYMENT_PAUSE 35000 /* microseconds: some 17 payments a second */
#define FAIL_FROM     2000  /* ms after the first payment */
#define FAIL_FOR      6500  /* for_s of srv_grey on the small site */
#define FAIL_SHARE    40    /* of 100 requests: x of srv_grey by kinds */
#define MAX_RUNS      1024

static pthread_mutex_t ledger_lock = PTHREAD_MUTEX_INITIALIZER;
static struct {
	char attempt[64];
	char payment[64];
} ledger[MAX_RUNS];
static int n_ledger;
static long long ledger_began;
static int fail_credit;

static bool
answer_payment(struct runner *r, struct peer *p, struct message *m)
{
	char id[64];
	char payment[64];
	long long t = now_ms() - ledger_began;
	bool fails = false;

	field(m, "X-Attempt-Id", id, sizeof(id));
	field(m, "X-Payment", payment, sizeof(payment));
	pthread_mutex_lock(&ledger_lock);
	if (n_ledger < MAX_RUNS) {
		snprintf(ledger[n_ledger].attempt,
		    sizeof(ledger[n_ledger].attempt), "%s", id);
		snprintf(ledger[n_ledger].payment,
		    sizeof(ledger[n_ledger].payment), "%s", payment);
		n_ledger++;
	}
	if (trouble && strcmp(r->id, "i-ledger-1") == 0 && t >= FAIL_FROM &&
	    t < FAIL_FROM + FAIL_FOR) {
		fail_credit += FAIL_SHARE;
		fails = fail_credit >= 100;
		fail_credit -= fails ? 100 : 0;
	}
	pthread_mutex_unlock(&ledger_lock);
	record("run      %s of payment %s at %s, answered with %d", id, payment,
	    r->id, fails ? 503 : 200);
	usleep(15000);
	return send_text(p->fd,
	    "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Runner-Seal: s.%s\r\n"
	    "X-Runner-Load: 1,0,6\r\nContent-Length: 4\r\n\r\n%s",
	    fails ? "503 Service Unavailable" : "200 OK", id, id,
	    fails ? "busy" : "paid");
}

/* Sends one attempt on a new connection; returns its status, or 0. */
static int
pay(int host, const char *payment, int attempt)
{
	struct peer p = { .fd = connect_to(host_ports[host]) };
	struct message m;
	char id[64];
	char fields[128];
	int status = 0;

	if (p.fd < 0)
		return 0;
	snprintf(id, sizeof(id), "%s-a%d", payment, attempt);
	/* With the blank line and the body. */
	snprintf(fields, sizeof(fields),
	    "X-Payment: %s\r\nContent-Length: 3\r\n\r\npay", payment);
	if (send_text(p.fd,
		"POST /r/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n"
		"X-Deadline-Ms: 600\r\nX-Api-Key: " API_KEY "\r\n%s",
		id, fields) &&
	    read_head(&p, &m, 1500))
		status = status_of(&m);
	record("answered %s with %d", id, status);
	close(p.fd);
	return status;
}

/* Whether a client retries: the status promises that the request didn't run. */
static bool
is_promise(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

static int
runs_of(const char *attempt, const char *payment)
{
	int n = 0;

	for (int i = 0; i < n_ledger; i++)
		n += attempt != NULL ? strcmp(ledger[i].attempt, attempt) == 0
				     : strcmp(ledger[i].payment, payment) == 0;
	return n;
}

int
case_refused(void)
{
	static struct runner runners[] = {
		{ .id = "i-ledger-1", "ledger", 0, false, answer_payment },
		{ .id = "i-ledger-2", "ledger", 0, false, answer_payment },
		{ .id = "i-ledger-3", "ledger", 0, false, answer_payment },
		{ .id = "i-ledger-4", "ledger", 0, false, answer_payment },
		{ .id = "i-ledger-5", "ledger", 0, false, answer_payment },
		{ .id = "i-ledger-6", "ledger", 0, false, answer_payment },
		{ .id = "i-ledger-7", "ledger", 0, false, answer_payment },
		{ .id = "i-ledger-8", "ledger", 0, false, answer_payment },
	};
	int broken = 0, twice = 0, served = 0;

	put_config("\"Kind\":\"non_idempotent\",\"TimeoutMs\":600,"
		   "\"Attempts\":1,\"Service\":\"ledger\"",
	    "{\"Name\":\"ledger\",\"HealthPath\":\"/healthz\","
	    "\"MaxConns\":110}");
	for (int i = 0; i < LEDGERS; i++)
		runner_start(&runners[i]);
	if (!hosts_wait_ready())
		return 2;
	ledger_began = now_ms();
	for (int i = 0; i < PAYMENTS; i++) {
		char payment[32];
		char id[64];
		int status;

		snprintf(payment, sizeof(payment), "p%d", i);
		status = pay(i % HOSTS, payment, 1);
		served += status == 200;
		snprintf(id, sizeof(id), "%s-a1", payment);
		if (is_promise(status)) {
			if (runs_of(id, NULL) > 0) {
				record("BROKEN   %s was answered with %d and "
				       "has run",
				    id, status);
				broken++;
			}
			pay((i + 1) % HOSTS, payment, 2);
		}
		if (runs_of(NULL, payment) > 1) {
			record("TWICE    payment %s is in the ledger %d times",
			    payment, runs_of(NULL, payment));
			twice++;
		}
		usleep(PAYMENT_PAUSE);
	}
	record("%d payments, %d served at once, %d attempts answered as not "
	       "run that have run, %d payments twice in the ledger",
	    PAYMENTS, served, broken, twice);
	if (served == 0)
		return 2;
	return broken > 0 ? 1 : 0;
}

/* slow: clients that read their answers slowly, without a pause. */

#define CLIENTS        8
#define ANSWER_BYTES   300000
#define SLOW_RATE      20000 /* bytes a second: 15 s for an answer */
#define STEP_US        50000
#define MAX_UNANSWERED 3    /* more break the rule */
#define MSS            1448 /* of an Ethernet link; loopback has more */

static bool
answer_page(struct runner *r, struct peer *p, struct message *m)
{
	char id[64];
	char size[32];
	long n;
	char *body;
	bool ok;

	(void)r;
	field(m, "X-Attempt-Id", id, sizeof(id));
	field(m, "X-Size", size, sizeof(size));
	n = strtol(size, NULL, 10);
	body = malloc((size_t)n);
	memset(body, 'x', (size_t)n);
	ok = send_text(p->fd,
		 "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Runner-Seal: "
		 "s.%s\r\nX-Runner-Load: 1,0,6\r\nContent-Length: %ld\r\n\r\n",
		 id, id, n) &&
	    send_all(p->fd, body, (size_t)n);
	record("run      %s, answer of %ld bytes %s", id, n,
	    ok ? "written" : "cut");
	free(body);
	return ok;
}

struct reader {
	pthread_t thread;
	int number;
	bool complete;
	bool sent;
};

/* Reads a body of n bytes at a rate, 0: at once; returns how much came. */
static long
read_at_rate(struct peer *p, long n, long rate)
{
	long long began = now_ms();
	char bytes[4096];
	long got = 0;

	if (rate == 0)
		return read_body(p, n, 5000);
	while (got < n) {
		long due = (long)((now_ms() - began) * rate / 1000) - got;

		while (due > 0 && got < n) {
			long want = due < (long)sizeof(bytes)
			    ? due
			    : (long)sizeof(bytes);
			long k = read_some(p, bytes,
			    (size_t)(want < n - got ? want : n - got), 10000);

			if (k <= 0)
				return got;
			got += k;
			due -= k;
		}
		usleep(STEP_US);
	}
	return got;
}

static void *
run_reader(void *arg)
{
	struct reader *x = arg;
	struct peer p = { .fd = connect_with(
			      host_ports[x->number % HOSTS], MSS) };
	struct message m;
	char id[64];
	char fields[64];
	long long began;
	long got = 0;

	if (p.fd < 0)
		return NULL;
	/* A first request, so that the connection is a kept one. */
	snprintf(id, sizeof(id), "c%d-first", x->number);
	if (!send_request(p.fd, "GET", id, DEADLINE_MS, "X-Size: 800\r\n") ||
	    !read_head(&p, &m, 5000) || status_of(&m) != 200 ||
	    read_body(&p, m.body_bytes, 5000) != 800)
		goto out;
	snprintf(id, sizeof(id), "c%d-second", x->number);
	snprintf(fields, sizeof(fields), "X-Size: %d\r\n", ANSWER_BYTES);
	began = now_ms();
	record("sent     %s on a kept connection, deadline %d ms", id,
	    DEADLINE_MS);
	x->sent = send_request(p.fd, "GET", id, DEADLINE_MS, fields);
	if (x->sent && read_head(&p, &m, 5000) && status_of(&m) == 200)
		got = read_at_rate(&p, ANSWER_BYTES, trouble ? SLOW_RATE : 0);
	x->complete = got == ANSWER_BYTES;
	record("%s %s: %ld of %d bytes in %lld ms",
	    x->complete ? "answered" : "BROKEN  ", id, got, ANSWER_BYTES,
	    now_ms() - began);
out:
	close(p.fd);
	return NULL;
}

int
case_slow(void)
{
	static struct runner runners[] = {
		{ .id = "i-pages-1", "pages", 0, false, answer_page },
		{ .id = "i-pages-2", "pages", 0, false, answer_page },
	};
	static struct reader readers[CLIENTS];
	int sent = 0, broken = 0;

	put_config("\"Kind\":\"idempotent\",\"TimeoutMs\":20000,"
		   "\"Attempts\":2,\"Service\":\"pages\"",
	    "{\"Name\":\"pages\",\"HealthPath\":\"/healthz\","
	    "\"MaxConns\":110}");
	for (int i = 0; i < 2; i++)
		runner_start(&runners[i]);
	if (!hosts_wait_ready())
		return 2;
	for (int i = 0; i < CLIENTS; i++) {
		readers[i].number = i;
		pthread_create(
		    &readers[i].thread, NULL, run_reader, &readers[i]);
	}
	for (int i = 0; i < CLIENTS; i++) {
		pthread_join(readers[i].thread, NULL);
		sent += readers[i].sent;
		broken += readers[i].sent && !readers[i].complete;
	}
	record("%d requests on kept connections, %d closed without their "
	       "answer; more than %d break the rule",
	    sent, broken, MAX_UNANSWERED);
	if (sent < CLIENTS)
		return 2;
	return broken > MAX_UNANSWERED ? 1 : 0;
}

/* restored: the store is restored from a copy after a runner has left. */

#define DRAIN_MS    2000 /* DrainMs */
#define STABLE_MS   3000 /* StableMs */
#define COPY_AGE_MS 1000 /* of the copy when the runner leaves */
#define RESTORE_MS  1000 /* from then to the restore */
#define SILENCE_MS  3600 /* three times HeartbeatMs */
#define SENDERS     12   /* four on each host */
#define SEND_PAUSE  20000
#define LULL_HOST   2 /* whose clients pause */
#define LULL_MARGIN 60

static long long left_at; /* 0: the runner hasn't left */
static long long restored_at;
static long long lull_until;
static volatile bool senders_stop;
static volatile bool lull;
static int late_arrivals;    /* later than DrainMs after the runner left */
static int touched_arrivals; /* of these, from a host in touch */

static bool
answer_booking(struct runner *r, struct peer *p, struct message *m)
{
	char id[64];
	long long now = now_ms();

	field(m, "X-Attempt-Id", id, sizeof(id));
	if (r->leaving && now - left_at > DRAIN_MS) {
		bool touched = store_cut_ms > 0 ||
		    (restored_at != 0 && now - restored_at > STABLE_MS);

		pthread_mutex_lock(&ledger_lock);
		late_arrivals++;
		touched_arrivals += touched;
		pthread_mutex_unlock(&ledger_lock);
		record("%s %s reaches %s %lld ms after it left, %lld ms after "
		       "the restore",
		    touched ? "BROKEN  " : "late    ", id, r->id, now - left_at,
		    restored_at != 0 ? now - restored_at : 0);
	}
	usleep(15000);
	return send_text(p->fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Runner-Seal: s.%s\r\n"
	    "X-Runner-Load: 1,0,6\r\n%sContent-Length: 2\r\n\r\nok",
	    id, id, r->leaving ? "Server-Leaving: 1\r\n" : "");
}

struct sender {
	pthread_t thread;
	int number;
	int served;
	int failed;
};

static void *
run_sender(void *arg)
{
	struct sender *x = arg;
	int host = x->number % HOSTS;

	for (int n = 0; !senders_stop; n++) {
		struct peer p;
		struct message m;
		char id[64];

		usleep(SEND_PAUSE);
		if (host == LULL_HOST && lull && now_ms() < lull_until)
			continue;
		p = (struct peer){ .fd = connect_to(host_ports[host]) };
		if (p.fd < 0) {
			x->failed++;
			continue;
		}
		snprintf(id, sizeof(id), "b%d-%d", x->number, n);
		if (send_request(
			p.fd, "POST", id, 600, "Content-Length: 0\r\n") &&
		    read_head(&p, &m, 1500) && status_of(&m) == 200)
			x->served++;
		else
			x->failed++;
		close(p.fd);
	}
	return NULL;
}

static void
sleep_until(long long t)
{
	while (now_ms() < t)
		usleep(1000);
}

static struct runner collect[] = {
	{ .id = "i-collect-1", "collect", 0, false, answer_booking },
	{ .id = "i-collect-2", "collect", 0, false, answer_booking },
	{ .id = "i-collect-3", "collect", 0, false, answer_booking },
	{ .id = "i-collect-4", "collect", 0, false, answer_booking },
};
static struct sender senders[SENDERS];

static bool
start_bookings(void)
{
	put_config("\"Kind\":\"non_idempotent\",\"TimeoutMs\":600,"
		   "\"Attempts\":1,\"Service\":\"collect\"",
	    "{\"Name\":\"collect\",\"HealthPath\":\"/healthz\","
	    "\"MaxConns\":110}");
	for (int i = 0; i < 4; i++)
		runner_start(&collect[i]);
	if (!hosts_wait_ready())
		return false;
	for (int i = 0; i < SENDERS; i++) {
		senders[i].number = i;
		pthread_create(
		    &senders[i].thread, NULL, run_sender, &senders[i]);
	}
	return true;
}

/* A runner leaves without a report; the clients of one host pause for a time.
 */
static void
leave(int pause_ms)
{
	lull_until = now_ms() + pause_ms;
	lull = true;
	sleep_until(now_ms() + COPY_AGE_MS);
	left_at = now_ms();
	collect[0].leaving = true;
	store_delete("servers/i-collect-1");
	record("leaves   i-collect-1: its entry is removed, it serves on");
}

static int
end_bookings(void)
{
	int served = 0, failed = 0;

	senders_stop = true;
	for (int i = 0; i < SENDERS; i++) {
		pthread_join(senders[i].thread, NULL);
		served += senders[i].served;
		failed += senders[i].failed;
	}
	record("%d served, %d failed; %d requests reached the runner later "
	       "than %d ms after it left, %d of them from a host in touch",
	    served, failed, late_arrivals, DRAIN_MS, touched_arrivals);
	if (served == 0)
		return 2;
	return touched_arrivals > 0 || (!trouble && late_arrivals > 0) ? 1 : 0;
}

int
case_restored(void)
{
	if (!start_bookings())
		return 2;
	sleep_until(now_ms() + STABLE_MS);
	store_make_copy();
	leave(COPY_AGE_MS + RESTORE_MS + STABLE_MS + LULL_MARGIN);
	sleep_until(left_at + RESTORE_MS);
	if (trouble) {
		store_restore();
		restored_at = now_ms();
		record("restore  of the store from a copy of %d ms ago",
		    COPY_AGE_MS + RESTORE_MS);
	}
	sleep_until(left_at + RESTORE_MS + SILENCE_MS);
	if (trouble) {
		store_delete("servers/i-collect-1");
		record("removed  the entry of i-collect-1, which was silent");
	}
	sleep_until(now_ms() + 1000);
	return end_bookings();
}

/* cut: the store cuts watches that wait. */

#define CUT_MS   500  /* a watch has waited */
#define AFTER_MS 6000 /* from the leaving to the end of the pause */

int
case_cut(void)
{
	if (!start_bookings())
		return 2;
	store_cut_ms = trouble ? CUT_MS : 0;
	record("store    %s",
	    trouble ? "cuts watches from now on" : "cuts no watch");
	sleep_until(now_ms() + STABLE_MS);
	leave(COPY_AGE_MS + AFTER_MS);
	sleep_until(lull_until + 1000);
	return end_bookings();
}
