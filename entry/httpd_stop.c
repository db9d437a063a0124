/* What is left of requests and responses shortly before the exit. */
#include "entry/httpd_state.h"
#include "base/log.h"
#include "plat/unread.h"

#include <linux/sockios.h>
#include <stdio.h>
#include <sys/ioctl.h>

void
httpd_drain(struct httpd *h)
{
	h->draining = true;
}

/* Answers a request that has not arrived as a whole. */
static void
refuse_partial(struct httpd_request *q)
{
	log_text(LOG_LVL_NOTICE, "request-incomplete",
	    "503: the request had not arrived shortly before the host's exit");
	q->busy = true;
	httpd_respond(q,
	    &(struct httpd_response){
		.status = HTTP_STATUS_SERVICE_UNAVAILABLE,
		.fields = "Retry-After: 0.010\r\n",
		.close = true,
	    });
}

size_t
httpd_refuse_partial(struct httpd *h, bool all)
{
	size_t n = 0;
	GList *next;

	for (GList *l = h->conns.head; l != NULL; l = next) {
		struct httpd_request *q = l->data;

		next = l->next;
		if (q->busy || q->closing || !q->in.started ||
		    (!all && unread_bytes(q->bev) > 0 && !httpd_room_waits(q)))
			continue;
		refuse_partial(q);
		n++;
	}
	return n;
}

/* Asks the socket for a number of bytes. */
static size_t
ask_socket(const struct httpd_request *q, unsigned long what)
{
	int n = 0;

	if (ioctl(bufferevent_getfd(q->bev), what, &n) != 0 || n < 0)
		return 0;
	/* The end of a connection that is closed in part counts as a byte. */
	if (q->lingering && n > 0)
		n--;
	return (size_t)n;
}

size_t
httpd_unsent(const struct httpd_request *q)
{
	return httpd_backlog(q) + ask_socket(q, SIOCOUTQ);
}

bool
httpd_lingers(struct httpd_request *q)
{
	size_t before = q->unsent;
	usec_t now = clock_now();

	q->unsent = httpd_unsent(q);
	if (q->unsent < before)
		q->idle_since = now;
	return q->unsent > 0 &&
	    now - q->idle_since < SEND_TIMEOUT_MS * USEC_PER_MSEC;
}

/*
 * Whether the caller has no room for the rest of its response.  Bytes on their
 * way don't count: they are acknowledged up to 200 ms late.
 */
static bool
has_untaken(const struct httpd_request *q)
{
	return httpd_backlog(q) + ask_socket(q, SIOCOUTQNSD) > 0;
}

void
httpd_name(struct httpd_request *q, struct str id, const char *route)
{
	snprintf(q->id, sizeof(q->id), "%.*s", STR_FMT(id));
	snprintf(q->route, sizeof(q->route), "%s", route);
}

static void
log_cut(const struct httpd_request *q, const char *cause)
{
	const char *event = q->httpd->o.cut_event;
	char bytes[24];

	snprintf(bytes, sizeof(bytes), "%zu", httpd_unsent(q));
	LOG_EACH(LOG_LVL_NOTICE, event != NULL ? event : "response-cut",
	    { "request", str_from(q->id) }, { "route", str_from(q->route) },
	    { "cause", str_from(cause) }, { "unsent", str_from(bytes) });
}

/* Whether the last request has been answered. */
static bool
is_responded(const struct httpd_request *q)
{
	return !q->busy || q->closing;
}

void
httpd_log_given_up(struct httpd_request *q)
{
	if (!is_responded(q) || httpd_unsent(q) == 0)
		return;
	q->httpd->counts.cut += q->httpd->draining;
	log_cut(q, "its receiver took nothing for a while");
}

void
httpd_cut(struct httpd *h)
{
	for (const GList *l = h->conns.head; l != NULL; l = l->next) {
		struct httpd_request *q = l->data;

		if (!is_responded(q) || !has_untaken(q))
			continue;
		h->counts.cut++;
		log_cut(q,
		    "its receiver had no room for the rest when the host "
		    "exited");
	}
}
