#include "plat/http.h"
#include "plat/held.h"
#include "plat/status_line.h"

#include <assert.h>
#include <curl/curl.h>
#include <err.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define IDLE_CONN_MAX_SEC 20L
#define MAX_IDLE_CONNS    512L
#define CONNECT_TIMEOUT   (1 * USEC_PER_SEC)
#define MAX_EPOLL_EVENTS  64
/* How often http_run takes that many events at most. */
#define MAX_EPOLL_ROUNDS  16
/* Longest wait while calls wait for room, which other threads may free. */
#define ROOM_WAIT         (10 * USEC_PER_MSEC)
/*
 * Part of the largest item that fits which a call leaves to others: calls that
 * stay open hold their heads.
 */
#define CALLS_LEAVE       8
#define NO_TIMER          ((usec_t)-1)
#define NO_DEADLINE       INT64_MAX
/*
 * libcurl's own limit on connecting is this much longer than the call's; it
 * holds for a second connection, after a kept one turned out to be closed.
 */
#define CURL_MARGIN       (10 * USEC_PER_SEC)

struct transfer {
	uint64_t id;
	struct http_loop *loop;
	CURL *easy;
	struct curl_slist *headers;
	const char *field; /* name of the response field to deliver, or NULL */
	http_handler handler;
	void *arg;
	struct buf body;
	struct buf received; /* received and not yet delivered */
	size_t max_bytes;
	size_t n_bytes; /* received so far */
	size_t n_head;  /* bytes of heads and trailers so far */
	struct held held;
	bool streamed;
	bool paused;        /* waits for room */
	usec_t end_at;      /* deadline of the call, or NO_DEADLINE */
	usec_t due_at;      /* end_at, or an earlier limit on connecting */
	GSequenceIter *due; /* its place among the loop's deadlines */
	bool head_delivered;
	bool wait_delivered; /* paused, as it was delivered */
	bool queued; /* its id is in the loop's list of readable transfers */
};

struct http_loop {
	CURLM *multi;
	GHashTable *transfers; /* id -> struct transfer, owned */
	GArray *readable;      /* ids of transfers with bytes to deliver */
	GSequence *deadlines;  /* transfers, ordered by due_at */
	uint64_t last_id;
	int epoll_fd;
	int wake_fd;     /* eventfd, signalled by http_wake() */
	usec_t timer_at; /* when libcurl's timer expires, or NO_TIMER */
	usec_t read_until;
	struct host_memory *memory; /* of the calls; NULL: none has one */
	size_t n_paused[MEMORY_POOLS];
};

static void
set_paused(struct transfer *t, bool paused)
{
	size_t *n = &t->loop->n_paused[memory_pool_of(t->held.holder.use)];

	if (paused && !t->paused)
		(*n)++;
	else if (!paused && t->paused)
		(*n)--;
	t->paused = paused;
}

static void
free_transfer(gpointer p)
{
	struct transfer *t = p;

	set_paused(t, false);
	held_end(&t->held);
	g_sequence_remove(t->due);
	curl_multi_remove_handle(t->loop->multi, t->easy);
	curl_easy_cleanup(t->easy);
	curl_slist_free_all(t->headers);
	buf_free(&t->body);
	buf_free(&t->received);
	free(t);
}

/* Size of the response; 0: not known. */
static size_t
expected_bytes(const struct transfer *t)
{
	curl_off_t n = -1;

	if (t->streamed)
		return MEMORY_SMALL;
	curl_easy_getinfo(t->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &n);
	return n > 0 ? t->n_head + (size_t)n : 0;
}

static void
deliver_later(struct transfer *t)
{
	if (!t->queued)
		g_array_append_val(t->loop->readable, t->id);
	t->queued = true;
}

/* A chunk for which there is no room is delivered again by libcurl. */
static size_t
on_bytes(char *p, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	n *= size;
	if (n > t->max_bytes - t->n_bytes && !t->streamed)
		return 0; /* fails the transfer */
	if (!held_may_read(&t->held, expected_bytes(t))) {
		set_paused(t, true);
		deliver_later(t);
		return CURL_WRITEFUNC_PAUSE;
	}
	held_add(&t->held, n);
	t->n_bytes += n;
	buf_put(&t->received, (struct str){ p, n });
	deliver_later(t);
	return n;
}

/* For each line of heads and trailers; libcurl keeps the fields. */
static size_t
on_head(char *p, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	n *= size;
	if (n > HTTP_MAX_HEAD_BYTES - t->n_head)
		return 0; /* fails the transfer */
	if (str_has_prefix((struct str){ p, n }, STR("HTTP/")) &&
	    !status_line_is_valid((struct str){ p, n }))
		return 0;
	t->n_head += n;
	held_add(&t->held, n);
	return n;
}

static usec_t
connect_timeout(const struct http_opts *o)
{
	return o->connect_timeout > 0 ? o->connect_timeout : CONNECT_TIMEOUT;
}

/*
 * The timeouts of a call are not given to libcurl, which would judge them
 * before it reads what has arrived.
 */
static void
set_options(struct transfer *t, const struct http_opts *o)
{
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_URL, o->url);
	curl_easy_setopt(e, CURLOPT_PRIVATE, t);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_bytes);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_head);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, t);
	if (!t->streamed)
		curl_easy_setopt(
		    e, CURLOPT_MAXFILESIZE_LARGE, (curl_off_t)t->max_bytes);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)((connect_timeout(o) + CURL_MARGIN) / USEC_PER_MSEC));
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, IDLE_CONN_MAX_SEC);
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	if (o->fresh) {
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
	}
	if (o->local_addr != NULL)
		curl_easy_setopt(e, CURLOPT_INTERFACE, o->local_addr);
	if (o->method != NULL)
		curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, o->method);
	if (o->body.n > 0) {
		curl_easy_setopt(
		    e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)t->body.n);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, t->body.p);
	}
}

static void
set_headers(struct transfer *t, const struct http_opts *o)
{
	t->headers = curl_slist_append(t->headers, "Expect:");
	if (o->body.n > 0)
		t->headers = curl_slist_append(
		    t->headers, "Content-Type: application/json");
	for (size_t i = 0; o->headers != NULL && o->headers[i] != NULL; i++)
		t->headers = curl_slist_append(t->headers, o->headers[i]);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

static struct transfer *
find_transfer(struct http_loop *l, uint64_t id)
{
	return g_hash_table_lookup(l->transfers, &id);
}

/* Returns the value of a field of the response, or NULL. */
static const char *
response_field(CURL *e, const char *name)
{
	struct curl_header *h;

	if (name == NULL ||
	    curl_easy_header(e, name, 0, CURLH_HEADER, -1, &h) != CURLHE_OK)
		return NULL;
	return h->value;
}

/* Delivers the status, once, a wait or its end, and the bytes received. */
static void
deliver_data(struct http_loop *l, uint64_t id)
{
	struct transfer *t = find_transfer(l, id);
	struct http_event ev = { .kind = HTTP_HEAD };
	struct buf in;
	long status = 0;

	if (t == NULL)
		return;
	t->queued = false;
	if (!t->head_delivered) {
		t->head_delivered = true;
		curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
		ev.status = (int)status;
		ev.etag = response_field(t->easy, "ETag");
		ev.field = response_field(t->easy, t->field);
		t->handler(t->arg, &ev);
		ev.etag = NULL;
		ev.field = NULL;
		t = find_transfer(l, id);
	}
	if (t != NULL && t->paused != t->wait_delivered) {
		t->wait_delivered = t->paused;
		ev.kind = HTTP_WAIT;
		ev.waits = t->paused;
		t->handler(t->arg, &ev);
		t = find_transfer(l, id);
	}
	if (t == NULL || t->received.n == 0)
		return;
	in = t->received;
	t->received = (struct buf){ 0 };
	if (t->streamed) {
		held_drop(&t->held, in.n);
		held_complete(&t->held);
	}
	ev.kind = HTTP_CHUNK;
	ev.bytes = str_of(&in);
	t->handler(t->arg, &ev);
	buf_free(&in);
}

/* Whether the request may have been sent. */
static bool
is_connected(CURL *e)
{
	curl_off_t pretransfer = 0;

	curl_easy_getinfo(e, CURLINFO_PRETRANSFER_TIME_T, &pretransfer);
	return pretransfer > 0;
}

/* A timeout before the request could be sent is a failure to connect. */
static enum http_failure
failure_kind(CURL *e, CURLcode rc)
{
	if (rc == CURLE_COULDNT_CONNECT || rc == CURLE_INTERFACE_FAILED ||
	    rc == CURLE_URL_MALFORMAT)
		return HTTP_CONNECT;
	if (rc != CURLE_OPERATION_TIMEDOUT)
		return HTTP_BROKEN;
	return is_connected(e) ? HTTP_TIMEOUT : HTTP_CONNECT;
}

static void
finish(struct http_loop *l, struct transfer *t, CURLcode rc)
{
	uint64_t id = t->id;
	struct http_event ev = { .kind = HTTP_END };

	if (rc == CURLE_OK)
		deliver_data(l, id);
	t = find_transfer(l, id);
	if (t == NULL)
		return;
	if (rc != CURLE_OK) {
		ev.kind = HTTP_FAIL;
		ev.fail.why = failure_kind(t->easy, rc);
		ev.fail.text = curl_easy_strerror(rc);
	}
	g_hash_table_steal(l->transfers, &id);
	t->handler(t->arg, &ev);
	free_transfer(t);
}

/*
 * Delivers received bytes, then the ends of transfers, so that the last bytes
 * of a broken response are not lost.  Returns whether there were any.
 */
static bool
deliver_all(struct http_loop *l)
{
	CURLMsg *m;
	int n_queued;
	bool any = l->readable->len > 0;

	for (guint i = 0; i < l->readable->len; i++)
		deliver_data(l, g_array_index(l->readable, uint64_t, i));
	g_array_set_size(l->readable, 0);
	while ((m = curl_multi_info_read(l->multi, &n_queued)) != NULL) {
		CURLcode rc = m->data.result;
		char *t = NULL;

		if (m->msg != CURLMSG_DONE)
			continue;
		any = true;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &t);
		finish(l, (struct transfer *)(void *)t, rc);
	}
	return any;
}

/* libcurl's socket callback: sets the events to wait for on a socket. */
static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *assigned)
{
	struct http_loop *l = arg;
	struct epoll_event ev = { .data.fd = fd };

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(l->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	epoll_ctl(l->epoll_fd, assigned != NULL ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
	    fd, &ev);
	curl_multi_assign(l->multi, fd, l);
	return 0;
}

static int
on_timer(CURLM *multi, long ms, void *arg)
{
	struct http_loop *l = arg;

	(void)multi;
	l->timer_at = ms < 0 ? NO_TIMER : clock_now() + ms * USEC_PER_MSEC;
	return 0;
}

struct http_loop *
http_new(void)
{
	struct http_loop *l = xcalloc(1, sizeof(*l));
	struct epoll_event ev = { .events = EPOLLIN };

	curl_global_init(CURL_GLOBAL_DEFAULT);
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	l->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (l->epoll_fd < 0 || l->wake_fd < 0)
		err(1,
		    "no file descriptor left for epoll or eventfd: raise the "
		    "limit of open files");
	ev.data.fd = l->wake_fd;
	epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, l->wake_fd, &ev);
	l->timer_at = NO_TIMER;
	l->read_until = clock_now();
	l->multi = curl_multi_init();
	curl_multi_setopt(l->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNS);
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETDATA, l);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERDATA, l);
	l->transfers = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_transfer);
	l->readable = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	l->deadlines = g_sequence_new(NULL);
	return l;
}

static int
compare_due(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct transfer *x = a;
	const struct transfer *y = b;

	(void)arg;
	return (x->due_at > y->due_at) - (x->due_at < y->due_at);
}

static void
start_deadlines(struct transfer *t, const struct http_opts *o)
{
	usec_t now = clock_now();
	usec_t connect_at = now + connect_timeout(o);

	t->end_at = o->timeout > 0 ? now + o->timeout : NO_DEADLINE;
	t->due_at = connect_at < t->end_at ? connect_at : t->end_at;
	t->due =
	    g_sequence_insert_sorted(t->loop->deadlines, t, compare_due, NULL);
}

static void
go_on(void *arg)
{
	struct transfer *t = arg;
	CURLcode rc;

	set_paused(t, false);
	deliver_later(t);
	rc = curl_easy_pause(t->easy, CURLPAUSE_CONT);
	if (rc != CURLE_OK)
		finish(t->loop, t, rc);
}

static void
init_held(struct transfer *t, const struct http_opts *o)
{
	size_t largest;

	held_init(&t->held,
	    &(struct held_opts){
		.memory = o->memory, .use = o->use, .go_on = go_on, .arg = t });
	t->streamed = o->streamed;
	largest = held_largest(&t->held);
	t->max_bytes = MIN(o->max_bytes, largest - largest / CALLS_LEAVE);
	held_limit(&t->held, t->max_bytes);
	if (o->memory != NULL)
		t->loop->memory = o->memory;
}

uint64_t
http_start(struct http_loop *l, const struct http_opts *o)
{
	struct transfer *t = xcalloc(1, sizeof(*t));

	assert(o->max_bytes > 0);
	t->id = ++l->last_id;
	t->loop = l;
	t->field = o->field;
	t->handler = o->handler;
	t->arg = o->arg;
	init_held(t, o);
	t->easy = curl_easy_init();
	buf_put(&t->body, o->body);
	set_options(t, o);
	set_headers(t, o);
	start_deadlines(t, o);
	g_hash_table_insert(l->transfers, &t->id, t);
	curl_multi_add_handle(l->multi, t->easy);
	return t->id;
}

void
http_cancel(struct http_loop *l, uint64_t call)
{
	g_hash_table_remove(l->transfers, &call);
}

/*
 * Calls libcurl if its timer has expired.  Returns wait, shortened to the time
 * until the timer expires, or to 0 if something was delivered.
 */
static usec_t
run_timer(struct http_loop *l, usec_t wait)
{
	usec_t now = clock_now();
	int running;

	if (l->timer_at != NO_TIMER && l->timer_at <= now) {
		l->timer_at = NO_TIMER;
		curl_multi_socket_action(
		    l->multi, CURL_SOCKET_TIMEOUT, 0, &running);
		if (deliver_all(l))
			wait = 0;
	}
	if (l->timer_at != NO_TIMER && l->timer_at - now < wait)
		wait = l->timer_at > now ? l->timer_at - now : 0;
	return wait;
}

static int
select_mask(uint32_t events)
{
	int mask = 0;

	if (events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		mask |= CURL_CSELECT_ERR;
	return mask;
}

/* Leaves the events to handle_sockets, as epoll reports them again. */
static void
wait_for_sockets(struct http_loop *l, usec_t wait)
{
	struct epoll_event ev;
	struct timespec ts = { wait / USEC_PER_SEC,
		wait % USEC_PER_SEC * 1000 };

	if (wait > 0)
		epoll_pwait2(l->epoll_fd, &ev, 1, &ts, NULL);
}

/* Handles what is ready on the sockets; returns whether it was all. */
static bool
handle_sockets(struct http_loop *l)
{
	struct epoll_event ev[MAX_EPOLL_EVENTS];
	eventfd_t count;
	int running;
	int n = MAX_EPOLL_EVENTS;

	for (int i = 0; n == MAX_EPOLL_EVENTS && i < MAX_EPOLL_ROUNDS; i++) {
		n = epoll_wait(l->epoll_fd, ev, MAX_EPOLL_EVENTS, 0);
		for (int k = 0; k < n; k++) {
			if (ev[k].data.fd == l->wake_fd)
				eventfd_read(l->wake_fd, &count);
			else
				curl_multi_socket_action(l->multi,
				    ev[k].data.fd, select_mask(ev[k].events),
				    &running);
		}
		/* A stopped process that goes on gets EINTR and no events. */
		if (n < 0 && errno == EINTR)
			n = MAX_EPOLL_EVENTS;
	}
	return n < MAX_EPOLL_EVENTS;
}

static void
check_deadline(struct http_loop *l, struct transfer *t, usec_t now)
{
	if (t->due_at < t->end_at && is_connected(t->easy)) {
		t->due_at = t->end_at;
		g_sequence_sort_changed(t->due, compare_due, NULL);
	}
	if (t->due_at <= now)
		finish(l, t, CURLE_OPERATION_TIMEDOUT);
}

static void
check_deadlines(struct http_loop *l, usec_t now)
{
	g_autoptr(GArray) ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (GSequenceIter *i = g_sequence_get_begin_iter(l->deadlines);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const struct transfer *t = g_sequence_get(i);

		if (t->due_at > now)
			break;
		g_array_append_val(ids, t->id);
	}
	for (guint i = 0; i < ids->len; i++) {
		struct transfer *t =
		    find_transfer(l, g_array_index(ids, uint64_t, i));

		if (t != NULL)
			check_deadline(l, t, now);
	}
}

/* Returns wait, shortened to the time until the next deadline. */
static usec_t
until_deadline(const struct http_loop *l, usec_t wait)
{
	GSequenceIter *i = g_sequence_get_begin_iter(l->deadlines);
	const struct transfer *t;
	usec_t left;

	if (g_sequence_iter_is_end(i))
		return MAX(wait, 0);
	t = g_sequence_get(i);
	left = t->due_at - clock_now();
	return MAX(MIN(left, wait), 0);
}

/* Lets calls that have waited for room go on; returns whether more wait. */
static bool
run_paused(struct http_loop *l)
{
	bool waiting = false;

	for (int i = 0; i < MEMORY_POOLS; i++) {
		if (l->n_paused[i] > 0)
			held_run(l->memory, (enum memory_pool)i);
		waiting = waiting || l->n_paused[i] > 0;
	}
	return waiting;
}

/*
 * Deadlines are judged by the time before the sockets are handled: what has
 * arrived by then has been read, also if the process stands still in between.
 */
usec_t
http_run(struct http_loop *l, usec_t wait)
{
	usec_t now;

	if (run_paused(l))
		wait = MIN(wait, ROOM_WAIT);
	wait_for_sockets(l, until_deadline(l, run_timer(l, wait)));
	now = clock_now();
	if (handle_sockets(l))
		l->read_until = now;
	deliver_all(l);
	run_timer(l, 0);
	check_deadlines(l, l->read_until);
	return l->read_until;
}

usec_t
http_read_until(const struct http_loop *l)
{
	return l->read_until;
}

void
http_wake(struct http_loop *l)
{
	eventfd_write(l->wake_fd, 1);
}

size_t
http_active(const struct http_loop *l)
{
	return g_hash_table_size(l->transfers);
}

void
http_free(struct http_loop *l)
{
	g_hash_table_destroy(l->transfers);
	g_array_free(l->readable, TRUE);
	g_sequence_free(l->deadlines);
	curl_multi_cleanup(l->multi);
	close(l->epoll_fd);
	close(l->wake_fd);
	free(l);
}
