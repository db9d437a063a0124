/*
 * Table of targets: their addresses, load and health, and this process's calls
 * in flight at each.
 *
 * A target is named by its index.  An index stays valid while the target has
 * calls in flight, even if the host list no longer names it.  The table has no
 * locks: one thread owns it.  Times are in microseconds.
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
	uint32_t member;    /* index in the service's members */
	int next_same_addr; /* next target with the same address, or -1 */
	enum target_state state;
	bool fixed;  /* named by the configuration */
	bool listed; /* named by the host list */
	/*
	 * Set when the target reports that it is leaving.  Until this time
	 * TARGET_LIVE in the host list is ignored.
	 */
	usec_t leaving_until;
	uint32_t in_flight; /* calls of this process */
	float other_load;   /* load of other processes at loaded_at */
	usec_t loaded_at;
	float fail_rate; /* moving average of failed calls, 0 to 1 */
	uint32_t fails_in_row;
	usec_t aside_until; /* 0: not set aside */
	/* Number of times set aside, less successes; each doubles the time. */
	uint32_t aside_count;
	float slowness; /* moving average of call duration / median */
	usec_t slowness_at;
	bool on_probation; /* back from being set aside; one call at a time */
	usec_t new_conn_until; /* connections opened earlier are not used */
	uint64_t calls;
};

/* How a call failed.  Decides how soon the target is set aside. */
enum target_fault {
	FAULT_ANSWER,     /* bad or late answer */
	FAULT_CLOSED,     /* connection closed before the answer */
	FAULT_UNREACHABLE /* unreachable or unable to serve now */
};

struct service_targets {
	char name[MAX_NAME_BYTES + 1]; /* service name in the host list */
	uint32_t *members; /* indices of targets that are not gone */
	size_t n;
	size_t cap;
	uint32_t next;    /* round robin position */
	uint32_t n_aside; /* targets set aside */
};

struct targets {
	struct target *v;
	size_t n;
	size_t cap;
	uint32_t *free_slots; /* unused entries of v */
	size_t n_free_slots;
	size_t free_slots_cap;
	GHashTable *by_addr; /* address -> index + 1 of the first target */
	struct service_targets *services;
	size_t n_services;
};

/* Returns the index of a service in the table; adds it if new. */
uint32_t targets_service(struct targets *t, struct str listed);
/* Updates the targets from the host list.  Those that it lacks are gone. */
void targets_update(
    struct targets *t, const struct listed_target *v, size_t n, usec_t now);
/* Updates the fixed targets from the configuration. */
void targets_conf(struct targets *t, const struct conf *c);
/* Begin and end a call in flight, and record its success or failure. */
void targets_started(struct targets *t, int i);
void targets_ended(struct targets *t, int i);
void targets_succeeded(struct targets *t, int i, usec_t now);
void targets_failed(struct targets *t, int i, usec_t now,
    const struct conf_policy *p, enum target_fault fault);
/* Records a load report; own calls in flight are subtracted from it. */
void targets_record_load(struct targets *t, int i, uint32_t load, usec_t now);
/* Records a call's duration as a multiple of the median. */
void targets_record_time(struct targets *t, int i, double ratio, usec_t now);
/*
 * Marks the target as leaving in all its services.  The host list lags, so it
 * can only call the target live again after LEAVING_HOLD.  Returns true if the
 * target was not marked before.
 */
bool targets_mark_leaving(struct targets *t, int i, usec_t now);
/* Clears the mark, after a report that the target is not leaving. */
void targets_clear_leaving(struct targets *t, int i);
/* Returns the index of the first target with this address, or -1. */
int targets_find(const struct targets *t, struct str addr);
/*
 * Estimated calls in flight at the target, of all processes.  The reported part
 * decays with its age.
 */
double targets_estimated_load(const struct target *x, usec_t now);
/* Cost of one more call: the load with it, times the target's slowness. */
double targets_cost(const struct target *x, usec_t now);
void targets_free(struct targets *t);

#endif
