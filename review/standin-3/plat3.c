#include "plat3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_ITEMS    64
#define VALUE_BYTES  16384
#define HOSTS        3
#define READY_MS     15000
#define FIRST_PORT   10000 /* below the ports of outgoing connections */
#define PORT_RANGE   20000
#define PORTS_A_HOST 3

struct item {
	char key[200];
	char value[VALUE_BYTES]; /* base64 text */
	long revision;
	long created;
	bool deleted;
};

struct contents {
	struct item items[MAX_ITEMS];
	int n;
	long revision;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct contents now;
	struct contents copy;
	int era;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	.changed = PTHREAD_COND_INITIALIZER,
	.now.revision = 100,
	.era = 1 };

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;
static long long began_at;

int host_ports[MAX_HOSTS];
bool trouble;
long store_cut_ms;

static void
fail(const char *what)
{
	fprintf(stderr, "plat3: %s: %s\n", what, strerror(errno));
	exit(2);
}

long long
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

void
record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%6lld ms ", now_ms() - began_at);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

bool
field(const struct message *m, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);
	const char *line = strstr(m->head, "\r\n");

	*out = '\0';
	while (line != NULL && line[2] != '\0') {
		const char *p = line + 2;
		const char *end = strstr(p, "\r\n");

		if (end == NULL)
			return false;
		if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
			p += n + 1;
			while (*p == ' ')
				p++;
			snprintf(out, size, "%.*s", (int)(end - p), p);
			return true;
		}
		line = end;
	}
	return false;
}

long
read_some(struct peer *p, char *out, size_t n, int timeout_ms)
{
	struct pollfd w = { .fd = p->fd, .events = POLLIN };

	if (p->n > 0) {
		if (n > p->n)
			n = p->n;
		memcpy(out, p->bytes, n);
		p->n -= n;
		memmove(p->bytes, p->bytes + n, p->n);
		return (long)n;
	}
	if (poll(&w, 1, timeout_ms) < 1)
		return -1;
	return read(p->fd, out, n);
}

bool
read_head(struct peer *p, struct message *m, int timeout_ms)
{
	long long end = now_ms() + timeout_ms;
	char text[32];
	char *last;

	p->bytes[p->n] = '\0';
	while ((last = strstr(p->bytes, "\r\n\r\n")) == NULL) {
		struct pollfd w = { .fd = p->fd, .events = POLLIN };
		long long left = end - now_ms();
		ssize_t n;

		if (left <= 0 || p->n + 1 >= sizeof(p->bytes) ||
		    poll(&w, 1, (int)left) < 1)
			return false;
		n = read(p->fd, p->bytes + p->n, sizeof(p->bytes) - 1 - p->n);
		if (n <= 0)
			return false;
		p->n += (size_t)n;
		p->bytes[p->n] = '\0';
	}
	last += 4;
	snprintf(
	    m->head, sizeof(m->head), "%.*s", (int)(last - p->bytes), p->bytes);
	p->n -= (size_t)(last - p->bytes);
	memmove(p->bytes, last, p->n);
	m->body_bytes = -1;
	if (field(m, "Content-Length", text, sizeof(text)))
		m->body_bytes = strtol(text, NULL, 10);
	return true;
}

long
read_body(struct peer *p, long n, int timeout_ms)
{
	char bytes[8192];
	long got = 0;

	while (got < n) {
		size_t want = (size_t)(n - got);
		long k = read_some(p, bytes,
		    want < sizeof(bytes) ? want : sizeof(bytes), timeout_ms);

		if (k <= 0)
			break;
		got += k;
	}
	return got;
}

bool
send_all(int fd, const char *bytes, size_t n)
{
	while (n > 0) {
		ssize_t k = send(fd, bytes, n, MSG_NOSIGNAL);

		if (k <= 0)
			return false;
		bytes += k;
		n -= (size_t)k;
	}
	return true;
}

bool
send_text(int fd, const char *fmt, ...)
{
	char text[2 * HEAD_BYTES];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	return send_all(fd, text, (size_t)n);
}

int
connect_with(int port, int mss)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd >= 0 && mss > 0)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
	if (fd < 0 || connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	close(fd);
	return -1;
}

int
connect_to(int port)
{
	return connect_with(port, 0);
}

/* Binds a socket of a type to a loopback port; -1: it is in use. */
static int
bind_to(int type, int port)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Returns the first of n free ports in a row. */
static int
free_ports(int n)
{
	for (int tries = 0; tries < 1000; tries++) {
		int first = FIRST_PORT + rand() % PORT_RANGE;
		bool ok = true;

		for (int i = 0; ok && i < n; i++) {
			int tcp = bind_to(SOCK_STREAM, first + i);
			int udp = bind_to(SOCK_DGRAM, first + i);

			ok = tcp >= 0 && udp >= 0;
			if (tcp >= 0)
				close(tcp);
			if (udp >= 0)
				close(udp);
		}
		if (ok)
			return first;
	}
	errno = EADDRINUSE;
	fail("no free ports");
	return 0;
}

struct server {
	int fd;
	void *arg;
	void (*serve)(void *arg, struct peer *p);
};

struct session {
	struct server *server;
	struct peer peer;
};

static void *
run_session(void *arg)
{
	struct session *s = arg;

	s->server->serve(s->server->arg, &s->peer);
	close(s->peer.fd);
	free(s);
	return NULL;
}

static void *
run_server(void *arg)
{
	struct server *v = arg;

	for (;;) {
		struct session *s = calloc(1, sizeof(*s));
		pthread_t t;

		s->server = v;
		s->peer.fd = accept(v->fd, NULL, NULL);
		if (s->peer.fd < 0 ||
		    pthread_create(&t, NULL, run_session, s) != 0)
			fail("accept");
		pthread_detach(t);
	}
	return NULL;
}

/* Serves connections in threads; returns the port. */
static int
serve(void (*fn)(void *arg, struct peer *p), void *arg)
{
	struct server *v = calloc(1, sizeof(*v));
	int port = free_ports(1);
	pthread_t t;

	v->fd = bind_to(SOCK_STREAM, port);
	v->arg = arg;
	v->serve = fn;
	if (v->fd < 0 || listen(v->fd, 256) != 0 ||
	    pthread_create(&t, NULL, run_server, v) != 0)
		fail("listen");
	pthread_detach(t);
	return port;
}

static void
base64(const char *text, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t n = strlen(text);

	for (size_t i = 0; i < n; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		if (i + 1 < n)
			v |= (unsigned)(unsigned char)text[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned char)text[i + 2];
		*out++ = digits[v >> 18];
		*out++ = digits[v >> 12 & 63];
		*out++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*out++ = i + 2 < n ? digits[v & 63] : '=';
	}
	*out = '\0';
}

/* Returns the item of a key, which is added if there is room, or NULL. */
static struct item *
find_item(const char *key)
{
	struct contents *x = &store.now;

	for (int i = 0; i < x->n; i++) {
		if (strcmp(x->items[i].key, key) == 0)
			return &x->items[i];
	}
	if (x->n == MAX_ITEMS)
		return NULL;
	memset(&x->items[x->n], 0, sizeof(x->items[0]));
	snprintf(x->items[x->n].key, sizeof(x->items[0].key), "%s", key);
	x->items[x->n].created = x->revision + 1;
	return &x->items[x->n++];
}

/* Writes an item; value is its base64 text, or NULL to delete it. */
static void
put_encoded(const char *key, const char *value)
{
	struct item *x;

	pthread_mutex_lock(&store.lock);
	x = find_item(key);
	if (x != NULL) {
		x->revision = ++store.now.revision;
		x->deleted = value == NULL;
		snprintf(x->value, sizeof(x->value), "%s",
		    value != NULL ? value : "");
	}
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

void
store_delete(const char *key)
{
	put_encoded(key, NULL);
}

void
store_make_copy(void)
{
	pthread_mutex_lock(&store.lock);
	store.copy = store.now;
	pthread_mutex_unlock(&store.lock);
}

void
store_restore(void)
{
	pthread_mutex_lock(&store.lock);
	store.now = store.copy;
	store.era++;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

void
store_put(const char *key, const char *value)
{
	char text[VALUE_BYTES];

	base64(value, text);
	put_encoded(key, text);
}

static json_t *
item_json(const struct item *x)
{
	if (x->deleted)
		return json_pack("{s:s, s:I, s:b}", "Key", x->key, "Rev",
		    (json_int_t)x->revision, "Tombstone", 1);
	return json_pack("{s:s, s:s, s:I, s:I, s:i}", "Key", x->key, "Value",
	    x->value, "Rev", (json_int_t)x->revision, "Created",
	    (json_int_t)x->created, "Lease", 0);
}

/* The items that changed after a revision; the caller holds the lock. */
static json_t *
items_after(long revision, bool with_deleted)
{
	json_t *v = json_array();

	for (int i = 0; i < store.now.n; i++) {
		const struct item *x = &store.now.items[i];

		if (x->revision > revision && (with_deleted || !x->deleted))
			json_array_append_new(v, item_json(x));
	}
	return v;
}

/* Value of a parameter of the query, which has no escapes here; or -1. */
static long
number_in(const char *head, const char *name)
{
	const char *p = strstr(head, name);

	return p != NULL ? strtol(p + strlen(name), NULL, 10) : -1;
}

static void
add_ms(struct timespec *t, long ms)
{
	t->tv_sec += ms / 1000;
	t->tv_nsec += ms % 1000 * 1000000;
	t->tv_sec += t->tv_nsec / 1000000000;
	t->tv_nsec %= 1000000000;
}

/*
 * Returns the changes, or NULL if the store has no such revision; sets whether
 * the watch is cut.
 */
static json_t *
watch(const char *head, bool *cut)
{
	long after = number_in(head, "After=");
	long wait = number_in(head, "WaitMs=");
	struct timespec began;
	struct timespec end;
	json_t *o = NULL;

	clock_gettime(CLOCK_REALTIME, &began);
	end = began;
	add_ms(&end, wait);
	*cut = false;
	pthread_mutex_lock(&store.lock);
	if (store_cut_ms > 0 && wait > store_cut_ms) {
		*cut = true;
		end = began;
		add_ms(&end, store_cut_ms);
	}
	while (store.now.revision == after &&
	    pthread_cond_timedwait(&store.changed, &store.lock, &end) == 0)
		;
	*cut = *cut && store.now.revision == after;
	if (store.now.revision >= after)
		o = json_pack("{s:o, s:I}", "events", items_after(after, true),
		    "AsOf", (json_int_t)store.now.revision);
	pthread_mutex_unlock(&store.lock);
	return o;
}

static json_t *
list(void)
{
	json_t *o;

	pthread_mutex_lock(&store.lock);
	o = json_pack("{s:o, s:b, s:I}", "Items", items_after(0, false),
	    "MorePages", 0, "AsOf", (json_int_t)store.now.revision);
	pthread_mutex_unlock(&store.lock);
	return o;
}

static json_t *
transact(const char *body)
{
	json_t *o = json_loads(body, 0, NULL);
	json_t *puts = json_object_get(o, "Puts");

	for (size_t i = 0; i < json_array_size(puts); i++) {
		const json_t *x = json_array_get(puts, i);

		put_encoded(json_string_value(json_object_get(x, "Key")),
		    json_string_value(json_object_get(x, "Value")));
	}
	json_decref(o);
	return json_pack("{s:I}", "Rev", (json_int_t)store.now.revision);
}

static void
serve_store(void *arg, struct peer *p)
{
	struct message m;

	(void)arg;
	while (read_head(p, &m, 60000)) {
		char body[2 * VALUE_BYTES] = "";
		long got = 0;
		const char *status = "404 Not Found";
		bool cut = false;
		json_t *o = NULL;
		char *text;

		while (
		    got < m.body_bytes && m.body_bytes < (long)sizeof(body)) {
			long k = read_some(
			    p, body + got, (size_t)(m.body_bytes - got), 5000);

			if (k <= 0)
				return;
			got += k;
		}
		if (strncmp(m.head, "GET /api/kv-range", 17) == 0)
			o = list();
		else if (strncmp(m.head, "GET /api/kv-watch", 17) == 0)
			o = watch(m.head, &cut);
		else if (strncmp(m.head, "POST /api/kv-txn", 16) == 0)
			o = transact(body);
		if (cut) {
			json_decref(o);
			return;
		}
		if (o != NULL)
			status = "200 OK";
		else if (strstr(m.head, "kv-watch") != NULL)
			status = "410 Gone";
		text = o != NULL ? json_dumps(o, JSON_COMPACT) : strdup("{}");
		send_text(p->fd,
		    "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
		    "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n",
		    status, store.era, strlen(text));
		send_all(p->fd, text, strlen(text));
		free(text);
		json_decref(o);
	}
}

int
store_start(void)
{
	return serve(serve_store, NULL);
}

static void
serve_runner(void *arg, struct peer *p)
{
	struct runner *r = arg;
	struct message m;

	while (read_head(p, &m, 60000)) {
		static const char report[] = "{\"Queued\":0,\"Active\":0}";

		if (m.body_bytes > 0 &&
		    read_body(p, m.body_bytes, 5000) < m.body_bytes)
			return;
		if (strncmp(m.head, "GET /api/report ", 16) == 0) {
			send_text(p->fd,
			    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
			    sizeof(report) - 1, report);
			continue;
		}
		if (!r->answer(r, p, &m))
			return;
	}
}

void
runner_start(struct runner *r)
{
	char key[64];
	char entry[512];

	r->port = serve(serve_runner, r);
	snprintf(key, sizeof(key), "servers/%s", r->id);
	snprintf(entry, sizeof(entry),
	    "{\"Service\":\"%s\",\"Addr\":\"127.0.0.1:%d\",\"Zone\":\"z1\","
	    "\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\","
	    "\"ColdLeftMs\":0,\"Seq\":1,\"born\":%lld}",
	    r->service, r->port, (long long)time(NULL) * 1000);
	store_put(key, entry);
}

/* Writes the settings of a host, as the deploy file's template has them. */
static void
write_settings(const char *dir, int i, int first, int seed, int kv)
{
	char path[512];
	FILE *f;

	snprintf(path, sizeof(path), "%s/h%d.ini", dir, i + 1);
	f = fopen(path, "w");
	if (f == NULL)
		fail(path);
	fprintf(f,
	    "[sequoiad]\nid = h%d\nlisten = 127.0.0.1:%d\n"
	    "operators = 127.0.0.1:%d\nrpc = 127.0.0.1:%d\n"
	    "failure_domain = z1\ncpu_share = 0.25\nlink_mbps = 1000.0\n"
	    "peers = 127.0.0.1:%d\ndrain_ms = 2800\ngrace_s = 8\n\n"
	    "[platform]\nform = routes\nkv = 127.0.0.1:%d\n\n"
	    "[routes]\nretry_ratio = 0.2\nretry_slack = 56\n"
	    "retry_window_s = 10\ntarget_drain_ms = 2000\ncold_over = \n"
	    "cold_slack = \n\n[fleet]\n"
	    "fleet_key = sequoiacourse 127.0.0.1:%d\n",
	    i + 1, first, first + 1, first + 2, seed, kv, kv);
	fclose(f);
}

static bool
is_ready(int port)
{
	struct peer p = { .fd = connect_to(port) };
	struct message m;
	bool ok;

	if (p.fd < 0)
		return false;
	ok = send_text(p.fd,
		 "GET /api/readyz HTTP/1.1\r\nHost: x\r\n"
		 "Connection: close\r\n\r\n") &&
	    read_head(&p, &m, 1000) && strncmp(m.head, "HTTP/1.1 200", 12) == 0;
	close(p.fd);
	return ok;
}

int
main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*run)(void);
	} cases[] = { { "refused", case_refused }, { "slow", case_slow },
		{ "restored", case_restored }, { "cut", case_cut } };
	const char *text = getenv("TROUBLE");
	struct timespec now;
	char path[512];
	FILE *done;
	int kv;

	if (argc != 4)
		fail("usage: plat3 CASE FOLDER RECORD");
	signal(SIGPIPE, SIG_IGN);
	clock_gettime(CLOCK_REALTIME, &now);
	srand((unsigned)(now.tv_nsec ^ getpid() << 12));
	trouble = text == NULL || strcmp(text, "0") != 0;
	began_at = now_ms();
	record_file = fopen(argv[3], "w");
	if (record_file == NULL)
		fail(argv[3]);
	kv = store_start();
	for (int i = 0; i < HOSTS; i++)
		host_ports[i] = free_ports(PORTS_A_HOST);
	for (int i = 0; i < HOSTS; i++)
		write_settings(
		    argv[2], i, host_ports[i], host_ports[0] + 2, kv);
	snprintf(path, sizeof(path), "%s/settings-written", argv[2]);
	done = fopen(path, "w");
	if (done == NULL)
		fail(path);
	fclose(done);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (strcmp(argv[1], cases[i].name) != 0)
			continue;
		/* The case writes the configuration first of all. */
		return cases[i].run();
	}
	fail("unknown case");
	return 2;
}

bool
hosts_wait_ready(void)
{
	long long end = now_ms() + READY_MS;

	for (int i = 0; i < HOSTS; i++) {
		while (!is_ready(host_ports[i] + 1)) {
			if (now_ms() > end)
				return false;
			usleep(50000);
		}
	}
	/* Until the hosts know each other. */
	usleep(1000000);
	return true;
}
