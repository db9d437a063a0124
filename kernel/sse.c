#include "kernel/sse.h"

#include <string.h>

/* Updates the id from a complete event. */
static void
update_id(struct sse *s, struct str event)
{
	struct str line;
	uint64_t id;

	while (str_cut(&event, '\n', &line)) {
		if (!str_has_prefix(line, STR("id:")))
			continue;
		line.p += 3;
		line.n -= 3;
		if (!str_parse_u64(str_trim(line), &id))
			continue;
		if (s->has_id && id != s->last_id + 1)
			s->id_gap = true;
		s->has_id = true;
		s->last_id = id;
	}
}

static bool
is_data(struct str line)
{
	return str_has_prefix(line, STR("data:")) ||
	    str_eq(str_trim(line), STR("data"));
}

/* A complete line, without its end, of the incomplete event. */
static void
note_line(struct sse *s, struct str line)
{
	if (is_data(line))
		s->has_data = true;
	else
		s->other += line.n + 1;
}

/*
 * Returns the end of the event that begins at an offset, with its blank line,
 * or 0.  A blank line before it belongs to it.
 */
static size_t
event_end(struct sse *s, size_t begin)
{
	const char *end;

	while ((end = memchr(s->partial.p + s->scanned, '\n',
		    s->partial.n - s->scanned)) != NULL) {
		size_t next = (size_t)(end - s->partial.p) + 1;
		struct str line = { s->partial.p + s->line,
			next - 1 - s->line };
		bool blank = line.n == 0 || (line.n == 1 && line.p[0] == '\r');
		bool first = s->line == begin;

		note_line(s, line);
		s->line = next;
		s->scanned = next;
		if (blank && !first)
			return next;
	}
	s->scanned = s->partial.n;
	return 0;
}

void
sse_feed(struct sse *s, struct str bytes, struct buf *out)
{
	size_t begin = 0;
	size_t end;

	if (bytes.n == 0)
		return;
	buf_put(&s->partial, bytes);
	while ((end = event_end(s, begin)) > 0) {
		struct str event = { s->partial.p + begin, end - begin };

		update_id(s, event);
		s->events++;
		buf_put(out, event);
		if (s->has_data)
			s->other = 0;
		s->has_data = false;
		begin = end;
	}
	if (begin == 0)
		return;
	buf_drop(&s->partial, begin);
	s->line -= begin;
	s->scanned -= begin;
	if (s->partial.n == 0)
		buf_free(&s->partial);
}

const char *
sse_fault(const struct sse *s)
{
	struct str line = { NULL, s->partial.n - s->line };
	size_t other = s->other;

	if (s->partial.n > SSE_MAX_EVENT)
		return "an event is too large";
	if (line.n > 0)
		line.p = s->partial.p + s->line;
	if (!is_data(line))
		other += line.n;
	return other > SSE_MAX_OTHER ? "the bytes are no events" : NULL;
}

void
sse_restart(struct sse *s)
{
	buf_free(&s->partial);
	s->line = 0;
	s->scanned = 0;
	s->has_data = false;
	s->other = 0;
}

bool
sse_between_events(const struct sse *s)
{
	return s->partial.n == 0;
}

void
sse_free(struct sse *s)
{
	buf_free(&s->partial);
}
