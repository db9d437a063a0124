#include "kernel/evacuations.h"

#include <string.h>

void
evacuations_init(struct evacuations *e)
{
	*e = (struct evacuations){ 0 };
	e->v = g_array_new(FALSE, TRUE, sizeof(struct evacuation));
}

static struct evacuation *
at(const struct evacuations *e, guint i)
{
	return &g_array_index(e->v, struct evacuation, i);
}

static struct evacuation *
find(const struct evacuations *e, const char *domain)
{
	for (guint i = 0; i < e->v->len; i++) {
		struct evacuation *x = at(e, i);

		if (!x->ended && strcmp(x->domain, domain) == 0)
			return x;
	}
	return NULL;
}

/* The mark of a listing that names the evacuation. */
static bool *
mark(struct evacuation *x, enum evacuation_source source)
{
	return source == EVACUATION_HOST ? &x->in_state : &x->listed;
}

enum evacuation_result
evacuations_put(struct evacuations *e, const char *domain,
    const struct evacuation_origin *o, usec_t now)
{
	struct evacuation *x = find(e, domain);
	struct evacuation new = { .origin = *o, .since = now - o->age };

	if (x != NULL) {
		*mark(x, o->source) = true;
		x->missing_since = 0;
		return EVACUATION_KNOWN;
	}
	if (e->v->len >= EVACUATIONS_MAX)
		return EVACUATION_TOO_MANY;
	g_strlcpy(new.domain, domain, sizeof(new.domain));
	*mark(&new, o->source) = true;
	g_array_append_val(e->v, new);
	e->version++;
	return EVACUATION_BEGINS;
}

static void
end(struct evacuations *e, struct evacuation *x)
{
	x->ended = true;
	e->version++;
}

void
evacuations_remove(struct evacuations *e, const char *domain)
{
	struct evacuation *x = find(e, domain);

	if (x != NULL)
		end(e, x);
}

void
evacuations_list_begin(struct evacuations *e, enum evacuation_source source)
{
	for (guint i = 0; i < e->v->len; i++)
		*mark(at(e, i), source) = false;
}

void
evacuations_list_end(struct evacuations *e, enum evacuation_source source,
    bool restored, usec_t now)
{
	for (guint i = 0; i < e->v->len; i++) {
		struct evacuation *x = at(e, i);

		if (x->ended || *mark(x, source) || x->missing_since != 0)
			continue;
		if (restored)
			x->missing_since = now;
		else
			end(e, x);
	}
}

void
evacuations_tick(struct evacuations *e, usec_t now)
{
	for (guint i = 0; i < e->v->len; i++) {
		struct evacuation *x = at(e, i);

		if (!x->ended && x->missing_since != 0 &&
		    now - x->missing_since >= EVACUATION_KEEP_TIME)
			end(e, x);
	}
}

bool
evacuations_take_ended(struct evacuations *e, struct evacuation *out)
{
	for (guint i = 0; i < e->v->len; i++) {
		if (!at(e, i)->ended)
			continue;
		*out = *at(e, i);
		g_array_remove_index(e->v, i);
		return true;
	}
	return false;
}

bool
evacuations_has(const struct evacuations *e, const char *domain)
{
	return find(e, domain) != NULL;
}

size_t
evacuations_count(const struct evacuations *e)
{
	size_t n = 0;

	for (guint i = 0; i < e->v->len; i++)
		n += at(e, i)->ended ? 0 : 1;
	return n;
}

GArray *
evacuations_list(const struct evacuations *e)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct evacuation));

	for (guint i = 0; i < e->v->len; i++) {
		if (!at(e, i)->ended)
			g_array_append_val(out, *at(e, i));
	}
	return out;
}

const char *
evacuation_source_name(enum evacuation_source s)
{
	switch (s) {
	case EVACUATION_STORE:
		return "store";
	case EVACUATION_FEED:
		return "feed";
	case EVACUATION_HOST:
		return "host";
	}
	return "";
}

void
evacuations_free(struct evacuations *e)
{
	g_array_unref(e->v);
}
