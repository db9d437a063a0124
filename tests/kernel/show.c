#include "tests/kernel/show.h"

#include <jansson.h>

const char *
show_name(const GPtrArray *names, uint64_t req)
{
	return g_ptr_array_index(names, req - 1);
}

static void
print_trace(const struct buf *trace, struct buf *out)
{
	json_auto_t *list = json_loadb(trace->p, trace->n, 0, NULL);
	size_t i;
	json_t *entry;

	json_array_foreach(list, i, entry)
	{
		static const char *const keys[] = { "what", "stage", "why",
			"target" };

		buf_printf(out, "\t%8.1f",
		    json_number_value(json_object_get(entry, "ms")));
		for (size_t j = 0; j < G_N_ELEMENTS(keys); j++) {
			const char *v =
			    json_string_value(json_object_get(entry, keys[j]));

			if (v != NULL)
				buf_printf(out, "%s%s", j > 0 ? ", " : " ", v);
		}
		buf_putc(out, '\n');
	}
}

static void
print_call(const struct action_call *c, const GPtrArray *names, struct buf *out)
{
	buf_printf(out, "call %llu for %s to %s: %s %s in %lld ms%s%s\n",
	    (unsigned long long)c->call, show_name(names, c->req), c->addr,
	    method_name(c->method), c->path.p,
	    (long long)(c->timeout / USEC_PER_MSEC),
	    c->new_conn ? " fresh" : "", c->no_resend ? " once" : "");
	if (c->body.n > 0)
		buf_printf(out, "\t%s\n", c->body.p);
}

static void
print_claim(const char *what, const struct action_claim *c,
    const GPtrArray *names, struct buf *out)
{
	buf_printf(out, "%s %s: %s/%s/%s attempt %u", what,
	    show_name(names, c->req), c->workspace.p, c->pipeline.p, c->key,
	    c->attempt);
	if (c->answer.n > 0)
		buf_printf(out, " %s", c->answer.p);
}

static void
print_answer(
    const struct action_answer *a, const GPtrArray *names, struct buf *out)
{
	buf_printf(out, "answer to %s: %s", show_name(names, a->req),
	    outcome_name(a->outcome));
	if (a->error != ERR_OK)
		buf_printf(out, " %s (%s)", err_name(a->error), a->detail);
	if (a->retry_after > 0)
		buf_printf(out, " retry after %lld ms",
		    (long long)(a->retry_after / USEC_PER_MSEC));
	buf_putc(out, '\n');
	if (a->body.n > 0)
		buf_printf(out, "\t%s\n", a->body.p);
	print_trace(&a->trace, out);
}

void
show_action(const struct action *a, const GPtrArray *names, struct buf *out)
{
	switch (a->kind) {
	case ACTION_CALL:
		print_call(&a->call, names, out);
		break;
	case ACTION_CANCEL:
		buf_printf(out, "cancel call %llu\n",
		    (unsigned long long)a->cancel.call);
		break;
	case ACTION_CLAIM:
	case ACTION_REFUSE:
		print_claim(a->kind == ACTION_CLAIM ? "claim" : "refuse",
		    &a->claim, names, out);
		buf_putc(out, '\n');
		break;
	case ACTION_SETTLE:
		print_claim("settle", &a->claim, names, out);
		buf_printf(out, " %s\n", outcome_name(a->claim.outcome));
		break;
	case ACTION_CHUNK:
		buf_printf(out, "piece for %s: \"%s\"\n",
		    show_name(names, a->chunk.req), a->chunk.text.p);
		break;
	case ACTION_ANSWER:
		print_answer(&a->answer, names, out);
		break;
	case ACTION_LEAVING:
		buf_printf(out, "left %s of %s\n", a->leaving.addr,
		    a->leaving.service);
		break;
	}
}
