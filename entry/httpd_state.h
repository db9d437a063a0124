/*
 * Connections of the server for callers: httpd.c serves them, httpd_room.c
 * counts what they hold, httpd_stop.c ends what is left at the exit.
 */
#ifndef ENTRY_HTTPD_STATE_H
#define ENTRY_HTTPD_STATE_H

#include "entry/httpd.h"
#include "kernel/bounds.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

/*
 * When no sent data is acknowledged for this long, or none of the last response
 * is taken, the connection is considered broken.
 */
#define SEND_TIMEOUT_MS 5000

/* A connection and its current request. */
struct httpd_request {
	struct httpd *httpd;
	struct bufferevent *bev;
	struct event *timer;
	struct httpmsg in;
	usec_t arrived;
	/* While no request has begun; lingering: since bytes were taken. */
	usec_t idle_since;
	size_t unsent;         /* output at the last timer */
	struct evbuffer *held; /* output of a corked response; or NULL */
	void (*on_close)(void *arg);
	void (*on_sent)(void *arg);
	void *arg;
	bool busy;      /* a request is being handled */
	bool chunked;   /* the response is sent in chunks */
	bool no_body;   /* it has none, by the status or the method */
	bool keep;      /* the response leaves the connection open */
	bool closing;   /* the connection closes once the output is written */
	bool continued; /* 100 Continue was sent */
	bool lingering; /* the output is written; input is discarded */
	/* What it holds of its request, and of responses. */
	struct held in_held;
	struct held out_held;
	size_t kept; /* as set by httpd_keeps */
	/* As set by httpd_name; until the next request begins. */
	char id[128];
	char route[MAX_NAME_BYTES + 1];
	usec_t stopped_at; /* reading waits since then; valid while it does */
	usec_t stopped;    /* for how long the request was not read */
	GList link;
};

struct httpd {
	struct httpd_opts o;
	struct evconnlistener *listener;
	GQueue conns;
	bool draining;
	struct httpd_counts counts;
};

/* Runs the timer of a connection after a time. */
void httpd_set_timer(struct httpd_request *q, usec_t t);
/* How long it may go on without further input, by the limits in force now. */
usec_t httpd_time_left(const struct httpd_request *q);
/* Resets a connection and tells the owner of its request. */
void httpd_break_off(struct httpd_request *q);

/*
 * Whether a lingering connection stays open: its caller has not taken all, and
 * has lately taken some.
 */
bool httpd_lingers(struct httpd_request *q);

/* Logs a complete response, if there is one, of which nothing more is taken. */
void httpd_log_given_up(struct httpd_request *q);

/* Begins and ends the accounts of a connection. */
void httpd_room_open(struct httpd_request *q);
void httpd_room_close(struct httpd_request *q);
/* A part of a request was read: stops reading if there is no room for more. */
void httpd_room_check(struct httpd_request *q);
/* Whether the body of a request, as declared, ever has room. */
bool httpd_room_fits(const struct httpd_request *q);
/* Whether the request waits for room. */
bool httpd_room_waits(const struct httpd_request *q);
/* The timer of a request that waits. */
void httpd_room_on_timer(struct httpd_request *q);
/* The request is complete; false if it was refused, as there is no room. */
bool httpd_room_complete(struct httpd_request *q);
/* The message is reset: the connection waits for its next request, or closes.
 */
void httpd_room_next(struct httpd_request *q);

#endif
