#include "kernel/event.h"

#include <stdlib.h>
#include <string.h>

static void
clear_claim(struct action_claim *c)
{
	buf_free(&c->request_id);
	buf_free(&c->workspace);
	buf_free(&c->pipeline);
	buf_free(&c->answer);
}

struct action *
actions_add(struct actions *a, enum action_kind kind)
{
	if (a->n == a->cap) {
		a->cap = a->cap > 0 ? 2 * a->cap : 8;
		a->v = xrealloc(a->v, a->cap, sizeof(*a->v));
	}
	memset(&a->v[a->n], 0, sizeof(a->v[a->n]));
	a->v[a->n].kind = kind;
	return &a->v[a->n++];
}

void
action_clear(struct action *x)
{
	switch (x->kind) {
	case ACTION_CALL:
		buf_free(&x->call.path);
		buf_free(&x->call.body);
		break;
	case ACTION_CLAIM:
	case ACTION_REFUSE:
	case ACTION_SETTLE:
		clear_claim(&x->claim);
		break;
	case ACTION_CHUNK:
		buf_free(&x->chunk.text);
		break;
	case ACTION_ANSWER:
		buf_free(&x->answer.body);
		buf_free(&x->answer.trace);
		break;
	case ACTION_CANCEL:
	case ACTION_LEAVING:
		break;
	}
}

void
actions_clear(struct actions *a)
{
	for (size_t i = 0; i < a->n; i++)
		action_clear(&a->v[i]);
	a->n = 0;
}

void
actions_free(struct actions *a)
{
	actions_clear(a);
	free(a->v);
	*a = (struct actions){ 0 };
}
