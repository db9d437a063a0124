/*
 * Simulated writers for the exploration of interleavings.
 *
 * The state of a writer depends only on the sequence of events that it has
 * received.  So each state is a node in a tree of event histories, and the
 * kernel's code runs once for each node.
 */
#ifndef TESTS_KERNEL_EXPLORE_WRITER_H
#define TESTS_KERNEL_EXPLORE_WRITER_H

#include "kernel/claims.h"

#define N_WRITERS  2
#define N_REQUESTS 3
#define MAX_SERIAL 12
#define MAX_OUT    4
#define NOW        (1645557742000 * USEC_PER_MSEC)
#define HEAD_KEY   "log"

enum variant {
	VARIANT_LOG,        /* the kernel's append-only log */
	VARIANT_NO_COMPARE, /* the kernel's log; a swap ignores the revision */
	VARIANT_NUMBERED    /* numbered segments, created if absent */
};

/* A claim or refusal that is submitted to a writer. */
struct writer_request {
	uint8_t writer;
	enum claim_step step;
	const char *key;
	uint32_t attempt;
};

struct scenario {
	const char *name;
	enum variant variant;
	struct writer_request requests[N_REQUESTS];
	uint8_t n_early;   /* requests submitted at the start */
	bool old_segment;  /* retention drops the first segment */
	uint8_t n_sealers; /* the first n writers seal as soon as they can */
	/* Limits on lost messages, duplicated messages and watch events. */
	uint8_t losses;
	uint8_t duplicates;
	uint8_t watches;
};

enum writer_event_kind {
	WRITER_EVENT_START,
	WRITER_EVENT_REQUEST,
	WRITER_EVENT_RESPONSE,
	WRITER_EVENT_WATCH
};

/* An event that a writer receives; texts are interned. */
struct writer_event {
	uint16_t kind;
	uint16_t req_index;
	uint16_t id;
	uint16_t status;
	uint16_t revision;
	uint16_t value;
};

/* A request that a writer sends to the key-value service. */
struct sent_request {
	uint16_t kind; /* enum alog_request_kind */
	uint16_t id;
	uint16_t key;
	uint16_t revision;
	uint16_t value;
};

/* A writer's state after its last event, and the requests that it then sent. */
struct node {
	int parent;
	struct writer_event event;
	size_t n_sent;
	struct sent_request sent[MAX_OUT];
	bool answered[N_REQUESTS];
	enum claim_result result[N_REQUESTS];
	uint64_t accepted[N_REQUESTS]; /* serials; 0: not accepted */
	uint16_t applied[MAX_SERIAL];  /* payloads, by serial */
	bool out_of_order; /* a record was applied twice or out of order */
};

/* Maps texts to small numbers and back; 0 is no text. */
uint16_t intern(struct str s);
struct str interned(uint16_t id);
/* The interned payload of the record for request i. */
uint16_t request_payload(const struct writer_request *r, unsigned i);

/* Starts a scenario with an empty tree. */
void writers_begin(const struct scenario *s);
void writers_end(void);
/*
 * Returns the node after an event in the state parent, or in the initial state
 * of a writer (parent = -1 - writer).
 */
int writers_next(int parent, const struct writer_event *event);
const struct node *writers_node(int id);

#endif
