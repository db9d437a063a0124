#include "entry/view.h"

#include <stdlib.h>

void
view_free(struct view *v)
{
	if (v == NULL)
		return;
	routes_unref(v->routes);
	g_array_unref(v->targets);
	g_array_unref(v->peers);
	g_array_unref(v->evacuated);
	quarantine_free(&v->quarantine);
	if (v->stream_bases != NULL)
		g_hash_table_unref(v->stream_bases);
	if (v->stream_gaps != NULL)
		g_hash_table_unref(v->stream_gaps);
	free(v);
}
