#include "kernel/target_start.h"

bool
target_start_matters(const struct target_start_call *c)
{
	return c->may_resume && c->reports;
}

bool
target_start_needed(const struct target_start_call *c)
{
	return target_start_matters(c) && (c->mixed || c->has_version);
}

enum target_start
target_start_decide(const struct target_report *r, uint64_t listed_ms)
{
	if (!r->readable)
		return TARGET_START_UNKNOWN;
	return r->born_ms == 0 || r->born_ms == listed_ms ? TARGET_START_LISTED
							  : TARGET_START_OTHER;
}
