/*
 * The table of targets: which there are, what is known of their load and
 * health, and how many calls this process has under way at each.
 *
 * A target is named by its index.  An index stays valid while the target has
 * calls under way, also when the host list no longer shows it.
 */
#ifndef KERNEL_TARGETS_H
#define KERNEL_TARGETS_H

#include "kernel/event.h"

#include <glib.h>

struct target {
	char addr[MAX_ADDR_BYTES];
	char domain[MAX_NAME_BYTES + 1];
	uint64_t hash;      /* of the address */
	uint32_t service;   /* index of its service */
	uint32_t member;    /* its place among the service's members */
	int next_same_addr; /* another target with the same address, or -1 */
	enum target_state state;
	bool fixed;           /* named by the configuration */
	bool listed;          /* named by the host list */
	usec_t leaving_until; /* it said that it is leaving: LIVE is not
				 believed */
	uint32_t in_flight;   /* calls of this process */
	float other_load;     /* load of other processes at loaded_at */
	usec_t loaded_at;
	float fail_rate;       /* moving share of failed calls, 0 to 1 */
	uint32_t fails_in_row; /* in a row */
	usec_t aside_until;    /* 0: not set aside */
	uint32_t aside_count;  /* times in a row, for the growing pause */
	float slowness; /* moving ratio of its calls' times to the usual one */
	usec_t slowness_at;
	bool on_probation;     /* back from being set aside, not yet trusted */
	usec_t new_conn_until; /* old connections to it are not used */
	uint64_t calls;
};

/* How a call failed; it decides how soon the target is set aside. */
enum target_fault {
	FAULT_ANSWER,     /* it answered badly or too late */
	FAULT_CLOSED,     /* it closed the connection before it answered */
	FAULT_UNREACHABLE /* it could not be reached or can't serve now */
};

struct service_targets {
	char name[MAX_NAME_BYTES + 1]; /* as the host list names it */
	uint32_t *members;             /* indices of targets not gone */
	size_t n;
	size_t cap;
	uint32_t next;    /* for round robin */
	uint32_t n_aside; /* how many are set aside */
};

struct targets {
	struct target *v;
	size_t n;
	size_t cap;
	uint32_t *free_slots; /* slots that no call refers to */
	size_t n_free_slots;
	size_t free_slots_cap;
	GHashTable *by_addr; /* address -> index + 1 of the first target */
	struct service_targets *services;
	size_t n_services;
};

/* The index of a service in the table; it is added if new. */
uint32_t targets_service(struct targets *t, struct str listed);
/* Takes a reading of the host list; what it lacks is gone. */
void targets_update(
    struct targets *t, const struct listed_target *v, size_t n, usec_t now);
/* Takes the fixed targets of the configuration. */
void targets_conf(struct targets *t, const struct conf *c);
/* A call started, or ended with or without success. */
void targets_started(struct targets *t, int i);
void targets_ended(struct targets *t, int i);
void targets_succeeded(struct targets *t, int i, usec_t now);
void targets_failed(struct targets *t, int i, usec_t now,
    const struct conf_policy *p, enum target_fault fault);
/* A load report; own calls under way are taken off it. */
void targets_record_load(struct targets *t, int i, uint32_t load, usec_t now);
/* How long a call took, as a multiple of the usual time. */
void targets_record_time(struct targets *t, int i, double ratio, usec_t now);
/*
 * The target said that it is leaving, in whatever service.  The host list lags,
 * so that it can only call the target live again after a while.  True if this
 * is news.
 */
bool targets_mark_leaving(struct targets *t, int i, usec_t now);
/* The target said that it is not leaving. */
void targets_mark_staying(struct targets *t, int i);
/* The index of the target with this address, or -1. */
int targets_find(const struct targets *t, struct str addr);
/* Calls under way at the target, as far as known now. */
double targets_score(const struct target *x, usec_t now);
/* What one more call would wait for, with the target's slowness. */
double targets_cost(const struct target *x, usec_t now);
void targets_free(struct targets *t);

#endif
