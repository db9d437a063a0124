#include "kernel/answer_head.h"
#include "kernel/bounds.h"

#include <strings.h>

/* Whether a media type, without its parameters, is that of event streams. */
static bool
is_event_stream(struct str type)
{
	static const char name[] = "text/event-stream";
	struct str media;

	str_cut(&type, ';', &media);
	media = str_trim(media);
	return media.n == sizeof(name) - 1 &&
	    strncasecmp(media.p, name, media.n) == 0;
}

const char *
answer_head_fault(const struct answer_head *h)
{
	if (h->has_length && h->length > MAX_ANSWER_BYTES)
		return "the answer is too large";
	if (h->is_stream && h->content_type.p != NULL &&
	    !is_event_stream(h->content_type))
		return "the answer is no stream of events";
	return NULL;
}
