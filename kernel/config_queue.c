#include "kernel/config_queue.h"

#include <string.h>

void
config_queue_put(struct config_queue *q, struct str text, const char *source)
{
	struct queued_config *x;

	if (q->n == CONFIG_QUEUE_MAX) {
		buf_free(&q->v[0].text);
		memmove(&q->v[0], &q->v[1], (q->n - 1) * sizeof(q->v[0]));
		q->n--;
	}
	x = &q->v[q->n++];
	*x = (struct queued_config){ .source = source };
	buf_put(&x->text, text);
}

const struct queued_config *
config_queue_newest(const struct config_queue *q)
{
	return q->n > 0 ? &q->v[q->n - 1] : NULL;
}

bool
config_queue_take(struct config_queue *q, struct queued_config *out)
{
	if (q->n == 0)
		return false;
	*out = q->v[--q->n];
	return true;
}

void
config_queue_clear(struct config_queue *q)
{
	for (size_t i = 0; i < q->n; i++)
		buf_free(&q->v[i].text);
	q->n = 0;
}
