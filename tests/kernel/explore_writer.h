/*
 * Writers for the exploration of interleavings.  A writer's state is a
 * function of the events that it has seen, so it is kept as a node in a tree
 * of histories, and its kernel code is run once for each of them.
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
	VARIANT_LOG,     /* the kernel's */
	VARIANT_BLIND,   /* the kernel's on a store that does not compare */
	VARIANT_NUMBERED /* segments by number, created if absent */
};

/* One of the three requests: which writer is asked for what. */
struct ask {
	uint8_t writer;
	enum claim_step step;
	const char *key;
	uint32_t attempt;
};

struct scenario {
	const char *name;
	enum variant variant;
	struct ask asks[N_REQUESTS];
	uint8_t early;    /* so many are asked before anything else happens */
	bool old_segment; /* start with records that retention drops */
	uint8_t sealers;  /* so many writers seal all they can */
	uint8_t losses;
	uint8_t repeats;
	uint8_t watches;
};

enum happening_kind {
	HAPPENING_START,
	HAPPENING_ASK,
	HAPPENING_ANSWER,
	HAPPENING_WATCH
};

/* An event of a writer; texts are interned. */
struct happening {
	uint16_t kind;
	uint16_t ask;
	uint16_t id;
	uint16_t status;
	uint16_t revision;
	uint16_t value;
};

struct sent {
	uint16_t kind; /* enum alog_request_kind */
	uint16_t id;
	uint16_t key;
	uint16_t revision;
	uint16_t value;
};

/* What a writer did on its last event, and all it has folded. */
struct node {
	int parent;
	struct happening why;
	size_t n_sent;
	struct sent sent[MAX_OUT];
	bool answered[N_REQUESTS];
	enum claim_result result[N_REQUESTS];
	uint64_t accepted[N_REQUESTS]; /* serials; 0: not accepted */
	uint16_t folded[MAX_SERIAL];   /* payloads by serial */
	bool twice;                    /* a serial did not go up */
};

/* Texts as small numbers; 0 is none. */
uint16_t intern(struct str s);
struct str interned(uint16_t id);
/* The interned payload of a request. */
uint16_t ask_payload(const struct ask *a, unsigned i);

/* Begins a scenario with an empty tree; the root of each writer follows. */
void writers_begin(const struct scenario *s);
void writers_end(void);
/* The history that comes after parent (-1 - writer for none) and event. */
int writers_next(int parent, const struct happening *why);
const struct node *writers_node(int id);

#endif
