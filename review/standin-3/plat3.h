/*
 * Stand-ins for the cases of the third review: the platform's store, runners
 * and clients, in one process on loopback addresses.
 */
#ifndef REVIEW_STANDIN_3_PLAT3_H
#define REVIEW_STANDIN_3_PLAT3_H

#include <stdbool.h>
#include <stddef.h>

#define HEAD_BYTES  16384
#define MAX_HOSTS   4
#define API_KEY     "key-of-yard"
#define DEADLINE_MS 20000 /* of the slowest route of the small sites */

/* A connection and what was read of it beyond the last message. */
struct peer {
	int fd;
	size_t n;
	char bytes[HEAD_BYTES];
};

/* The head of a request or response. */
struct message {
	char head[HEAD_BYTES];
	long body_bytes; /* -1: in chunks, or until the end */
};

struct runner {
	char id[32];
	const char *service;
	int port;
	bool leaving; /* says so in its answers */
	/* Answers a request whose body was read; false closes the connection.
	 */
	bool (*answer)(struct runner *r, struct peer *p, struct message *m);
};

long long now_ms(void);
/* Writes a line to the record of the case. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Copies the value of a field, or an empty text; returns whether it is there.
 */
bool field(const struct message *m, const char *name, char *out, size_t size);
/* Reads a head; false at the end of the connection or after the timeout. */
bool read_head(struct peer *p, struct message *m, int timeout_ms);
/* Reads and drops n bytes of a body; returns how many there were. */
long read_body(struct peer *p, long n, int timeout_ms);
/* Reads some bytes, at most n; 0: the end, -1: reset or timeout. */
long read_some(struct peer *p, char *out, size_t n, int timeout_ms);
bool send_all(int fd, const char *bytes, size_t n);
bool send_text(int fd, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
int connect_to(int port);
/* The same with a limit of the bytes in a packet. */
int connect_with(int port, int mss);

/* Starts the store and returns its port. */
int store_start(void);
void store_put(const char *key, const char *value);
void store_delete(const char *key);
/* Makes a copy of the store; restores it from the copy, in the next era. */
void store_make_copy(void);
void store_restore(void);
/* Waiting watches are cut after this time; 0: they aren't. */
extern long store_cut_ms;
/* Starts a runner and writes its entry to the store. */
void runner_start(struct runner *r);

/* The hosts' ports for callers. */
extern int host_ports[MAX_HOSTS];
/* Waits until all hosts are ready; call it once the configuration is there. */
bool hosts_wait_ready(void);
/* Whether the case runs with its disruption. */
extern bool trouble;

/* The cases; each returns the exit status. */
int case_refused(void);
int case_slow(void);
int case_restored(void);
int case_cut(void);

#endif
