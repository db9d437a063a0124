#include "kernel/config_fetch.h"

#include <stdio.h>
#include <string.h>

static bool
has_source(const struct config_fetch *f, const char *addr)
{
	for (size_t i = 0; i < f->n; i++) {
		if (strcmp(f->sources[i], addr) == 0)
			return true;
	}
	return false;
}

static void
add_source(struct config_fetch *f, const char *addr)
{
	if (addr[0] == '\0' || f->n == CONFIG_SOURCES || has_source(f, addr))
		return;
	snprintf(f->sources[f->n++], sizeof(f->sources[0]), "%s", addr);
}

void
config_fetch_announced(
    struct config_fetch *f, int64_t revision, const char *addr)
{
	if (revision > f->revision) {
		f->revision = revision;
		f->n = 0;
		f->failures = 0;
		f->due = true;
		add_source(f, addr);
	} else if (revision == f->revision && (f->due || f->in_flight)) {
		add_source(f, addr);
	}
}

void
config_fetch_restored(struct config_fetch *f)
{
	f->revision = 0;
}

void
config_fetch_wanted(struct config_fetch *f, const char *addr)
{
	if (f->due || f->in_flight)
		return;
	f->due = true;
	add_source(f, addr);
}

struct config_fetch_step
config_fetch_next(const struct config_fetch *f, const char *any)
{
	struct config_fetch_step s = { .kind = CONFIG_FETCH_NONE };
	const char *addr = f->n > 0 ? f->sources[0] : any;

	if (!f->due || f->in_flight)
		return s;
	s.kind = CONFIG_FETCH_STORE;
	if (addr == NULL || f->failures >= CONFIG_FETCH_HOSTS)
		return s;
	s.kind = CONFIG_FETCH_HOST;
	snprintf(s.addr, sizeof(s.addr), "%s", addr);
	s.silence = f->n > 1 || (f->n == 1 && any != NULL)
	    ? CONFIG_FETCH_SILENCE
	    : PEER_REPLY_SILENCE;
	return s;
}

void
config_fetch_begun(struct config_fetch *f, const struct config_fetch_step *s)
{
	f->due = false;
	f->in_flight = true;
	if (s->kind != CONFIG_FETCH_HOST || f->n == 0)
		return;
	f->n--;
	memmove(f->sources[0], f->sources[1], f->n * sizeof(f->sources[0]));
}

void
config_fetch_ended(
    struct config_fetch *f, enum config_fetch_kind kind, bool found)
{
	f->in_flight = false;
	if (found) {
		f->failures = 0;
		/* Else they have a version that was announced meanwhile. */
		if (!f->due)
			f->n = 0;
		return;
	}
	f->due = true;
	f->failures = kind == CONFIG_FETCH_STORE ? 0 : f->failures + 1;
}
