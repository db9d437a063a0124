#include "kernel/paths.h"

#include <string.h>

/* Failed targets of a service that show that its path is lost. */
#define SERVICE_FAILURES 2
/* Services with lost paths that show that all paths are lost. */
#define LOST_SERVICES    2
/* Failures further apart than this don't count together. */
#define FAILURE_WINDOW   (3 * USEC_PER_SEC)
/* Covers the retransmission of a lost packet. */
#define SILENCE_TIME     (300 * USEC_PER_MSEC)
#define TEST_INTERVAL    (500 * USEC_PER_MSEC)
/* Distinct targets that are tested, so that one that is down doesn't decide. */
#define SILENCE_TESTS    2
/* How long a host that has no room isn't chosen: it may have some at once. */
#define FULL_PAUSE       (50 * USEC_PER_MSEC)
/* How long a host that failed isn't chosen. */
#define HOST_PAUSE       (1 * USEC_PER_SEC)
/* The same for one that makes no calls, unless it restarts. */
#define UNABLE_PAUSE     (10 * USEC_PER_SEC)

struct path_service {
	/* Targets that failed since a connection succeeded; a set of ids. */
	GHashTable *failed;
	usec_t failed_at; /* the last one */
	bool lost;
	bool without_host;  /* no other host makes calls either */
	uint32_t calls;     /* on direct connections */
	usec_t quiet_since; /* nothing has been heard, or no call was made */
	usec_t tested_at;
	/* id of a host without a path -> usec_t: it isn't chosen until then */
	GHashTable *hosts_without;
};

static void
free_service(gpointer p)
{
	struct path_service *s = p;

	g_hash_table_destroy(s->failed);
	g_hash_table_destroy(s->hosts_without);
	g_free(s);
}

void
paths_init(struct paths *p, const char *domain, uint64_t seed)
{
	*p = (struct paths){ 0 };
	p->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_service);
	p->hosts = g_array_new(FALSE, TRUE, sizeof(struct path_host));
	g_strlcpy(p->domain, domain, sizeof(p->domain));
	rng_init(&p->rng, seed);
}

static struct path_service *
service_of(struct paths *p, const char *name)
{
	struct path_service *s = g_hash_table_lookup(p->services, name);

	if (s == NULL) {
		s = g_new0(struct path_service, 1);
		s->failed = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		s->hosts_without = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(p->services, g_strdup(name), s);
	}
	return s;
}

static struct path_host *
find_host(struct paths *p, const char *id)
{
	for (guint i = 0; i < p->hosts->len; i++) {
		struct path_host *h =
		    &g_array_index(p->hosts, struct path_host, i);

		if (strcmp(h->id, id) == 0)
			return h;
	}
	return NULL;
}

void
paths_set_hosts(struct paths *p, const GArray *hosts)
{
	GArray *v = g_array_new(FALSE, TRUE, sizeof(struct path_host));

	for (guint i = 0; i < hosts->len; i++) {
		struct path_host h = g_array_index(hosts, struct path_host, i);
		const struct path_host *old = find_host(p, h.id);

		if (old != NULL && strcmp(old->addr, h.addr) == 0 &&
		    old->incarnation == h.incarnation)
			h.unreachable_until = old->unreachable_until;
		g_array_append_val(v, h);
	}
	g_array_unref(p->hosts);
	p->hosts = v;
}

/* A path is back: hosts are tried anew when one is lost again. */
static void
clear_without_host(struct paths *p)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct path_service *)v)->without_host = false;
}

bool
paths_connected(struct paths *p, const char *service, usec_t now)
{
	struct path_service *s = service_of(p, service);
	bool was_lost = p->lost || s->lost;

	if (was_lost)
		clear_without_host(p);
	g_hash_table_remove_all(s->failed);
	s->lost = false;
	s->quiet_since = now;
	p->lost = false;
	return was_lost;
}

static size_t
count_lost(const struct paths *p)
{
	GHashTableIter it;
	gpointer v;
	size_t n = 0;

	g_hash_table_iter_init(&it, p->services);
	while (g_hash_table_iter_next(&it, NULL, &v))
		n += ((const struct path_service *)v)->lost;
	return n;
}

bool
paths_failed(struct paths *p, const char *service, const char *target,
    size_t n_targets, usec_t now)
{
	struct path_service *s = service_of(p, service);
	size_t needed =
	    n_targets < SERVICE_FAILURES ? n_targets : SERVICE_FAILURES;

	if (s->lost)
		return false;
	if (now - s->failed_at > FAILURE_WINDOW)
		g_hash_table_remove_all(s->failed);
	s->failed_at = now;
	g_hash_table_add(s->failed, g_strdup(target));
	s->lost = g_hash_table_size(s->failed) >= needed;
	if (s->lost && count_lost(p) >= LOST_SERVICES)
		p->lost = true;
	return s->lost;
}

void
paths_call_begins(struct paths *p, const char *service, usec_t now)
{
	struct path_service *s = service_of(p, service);

	if (s->calls++ == 0)
		s->quiet_since = now;
}

void
paths_call_heard(struct paths *p, const char *service, usec_t now)
{
	service_of(p, service)->quiet_since = now;
}

void
paths_call_ends(struct paths *p, const char *service, usec_t now)
{
	struct path_service *s = service_of(p, service);

	(void)now;
	if (s->calls > 0)
		s->calls--;
}

bool
paths_is_direct(const struct paths *p, const char *service)
{
	const struct path_service *s =
	    g_hash_table_lookup(p->services, service);

	return !p->lost && (s == NULL || !s->lost);
}

bool
paths_is_silent(const struct paths *p, const char *service, usec_t now)
{
	const struct path_service *s =
	    g_hash_table_lookup(p->services, service);

	return s != NULL && s->calls > 0 &&
	    now - s->quiet_since >= SILENCE_TIME;
}

size_t
paths_tests_due(struct paths *p, const char *service, usec_t now)
{
	struct path_service *s = service_of(p, service);
	bool direct = paths_is_direct(p, service);

	if ((direct && !paths_is_silent(p, service, now)) ||
	    now - s->tested_at < TEST_INTERVAL)
		return 0;
	s->tested_at = now;
	return direct ? SILENCE_TESTS : 1;
}

const struct path_host *
paths_choose_host(struct paths *p, const char *service, usec_t now)
{
	const struct path_service *s = service_of(p, service);
	const struct path_host *best = NULL;
	double best_weight = 0;

	for (guint i = 0; i < p->hosts->len; i++) {
		const struct path_host *h =
		    &g_array_index(p->hosts, struct path_host, i);
		double weight = rng_unit(&p->rng) +
		    (strcmp(h->domain, p->domain) == 0 ? 1 : 0);
		const usec_t *without =
		    g_hash_table_lookup(s->hosts_without, h->id);

		if (now < h->unreachable_until ||
		    (without != NULL && now < *without) ||
		    (best != NULL && weight <= best_weight))
			continue;
		best = h;
		best_weight = weight;
	}
	return best;
}

void
paths_host_failed(struct paths *p, const char *id, usec_t now)
{
	struct path_host *h = find_host(p, id);

	if (h != NULL)
		h->unreachable_until = now + HOST_PAUSE;
}

void
paths_host_full(struct paths *p, const char *id, usec_t now)
{
	struct path_host *h = find_host(p, id);

	if (h != NULL)
		h->unreachable_until = now + FULL_PAUSE;
}

void
paths_host_unable(struct paths *p, const char *id, usec_t now)
{
	struct path_host *h = find_host(p, id);

	if (h != NULL)
		h->unreachable_until = now + UNABLE_PAUSE;
}

void
paths_no_host(struct paths *p, const char *service)
{
	service_of(p, service)->without_host = true;
}

void
paths_host_called(struct paths *p, const char *service)
{
	service_of(p, service)->without_host = false;
}

bool
paths_has_way(const struct paths *p, const char *service)
{
	const struct path_service *s =
	    g_hash_table_lookup(p->services, service);

	return s == NULL || !s->without_host || paths_is_direct(p, service);
}

void
paths_host_without(
    struct paths *p, const char *id, const char *service, usec_t now)
{
	usec_t *until = g_new(usec_t, 1);

	*until = now + HOST_PAUSE;
	g_hash_table_replace(
	    service_of(p, service)->hosts_without, g_strdup(id), until);
}

void
paths_free(struct paths *p)
{
	g_hash_table_destroy(p->services);
	g_array_unref(p->hosts);
}
