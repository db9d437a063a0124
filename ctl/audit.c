#include "ctl/audit.h"
#include "base/clock.h"
#include "kernel/confrecord.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

static void
print_text(const struct confrecord *r)
{
	time_t at = (time_t)(r->when / USEC_PER_SEC);
	struct buf keys = { 0 };
	struct tm tm;
	char when[32];

	gmtime_r(&at, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &tm);
	printf("%s generation %llu %s by %s change %s\n", when,
	    (unsigned long long)r->generation,
	    r->accepted ? "accepted" : "refused", r->who, r->change_id);
	if (r->reason != NULL)
		printf("    reason: %s\n", r->reason);
	for (size_t i = 0; i < r->n_files; i++)
		printf("    file %s %s\n", r->files[i].name,
		    *r->files[i].hash == '\0'           ? "removed"
			: *r->files[i].old_hash == '\0' ? "added"
							: "changed");
	confdiff_format(&r->keys, &keys);
	if (keys.n > 0)
		printf("%.*s", STR_FMT(str_of(&keys)));
	buf_free(&keys);
}

void
audit_print(const json_t *payload, bool json)
{
	struct confrecord r = { 0 };
	struct err e = { 0 };
	char *text;

	if (json) {
		text = json_dumps(payload, JSON_COMPACT | JSON_SORT_KEYS);
		puts(text);
		free(text);
		return;
	}
	if (confrecord_read(payload, &r, &e) != 0)
		printf("unreadable record: %s\n", e.text);
	else
		print_text(&r);
	confrecord_free(&r);
}
