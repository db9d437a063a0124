/* sequoiactl: the operators' command. */
#include "ctl/folder.h"
#include "kernel/conf.h"
#include "plat/kv.h"

#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONF_KEY   STR("sequoia/config/head")
#define KV_TIMEOUT (2 * USEC_PER_SEC)
#define STEP       (50 * USEC_PER_MSEC)

const char *argp_program_version = "sequoiactl " SEQUOIA_VERSION;

enum exit_code {
	EXIT_DONE = 0,
	EXIT_REFUSED = 1, /* the input or the present state speaks against it */
	EXIT_USAGE = 2,
	EXIT_UNREACHED = 3 /* the platform or a sequoiad did not answer */
};

struct options {
	const char *kv;
	const char *command;
	const char *arg;
};

/* An answer of the key-value service while it is waited for. */
struct waiting {
	bool done;
	enum kv_status status;
	bool found;
	int64_t revision;
	struct buf value;
};

static const struct argp_option options[] = {
	{ "kv", 'k', "IP:PORT", 0, "The key-value service", 0 },
	{ 0 },
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'k':
		o->kv = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (o->command == NULL)
			o->command = arg;
		else
			o->arg = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
on_kv(void *arg, const struct kv_result *r)
{
	struct waiting *w = arg;

	w->done = true;
	w->status = r->status;
	w->found = r->found;
	w->revision = r->mod_revision;
	buf_clear(&w->value);
	buf_put(&w->value, r->value);
}

static int
check(const char *path, struct folder *f, struct err *e)
{
	struct ini set = { 0 };
	struct conf *c = NULL;
	int rc = folder_read(f, path, e);

	if (rc == 0)
		rc = folder_merge(f, &set, e);
	if (rc == 0 && (c = conf_read(&set, 0, e)) == NULL)
		rc = e->kind;
	conf_unref(c);
	ini_free(&set);
	return rc;
}

static char *
head_text(const struct folder *f, uint64_t generation)
{
	json_t *files = json_object();
	json_t *o;
	char *text;

	for (size_t i = 0; i < f->n; i++)
		json_object_set_new(files, f->v[i].name,
		    json_stringn(f->v[i].body.p, f->v[i].body.n));
	o = json_pack(
	    "{s:I, s:o}", "generation", (json_int_t)generation, "files", files);
	text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(o);
	return text;
}

static int
apply(const struct options *o, const struct folder *f)
{
	struct http_loop *loop = http_new();
	struct kv *kv = kv_new(&(struct kv_opts){ .loop = loop,
	    .endpoints = &o->kv,
	    .n_endpoints = 1,
	    .timeout = KV_TIMEOUT });
	struct waiting w = { 0 };
	uint64_t generation = 1;
	json_t *old;
	char *text;

	kv_get(kv, CONF_KEY, on_kv, &w);
	while (!w.done)
		http_run(loop, STEP);
	old =
	    json_loadb(w.value.p != NULL ? w.value.p : "", w.value.n, 0, NULL);
	if (old != NULL)
		generation = 1 +
		    (uint64_t)json_integer_value(
			json_object_get(old, "generation"));
	json_decref(old);
	text = head_text(f, generation);
	w.done = false;
	kv_cas(kv,
	    &(struct kv_cas_opts){
		CONF_KEY, w.found ? w.revision : 0, str_from(text), 0 },
	    on_kv, &w);
	while (!w.done)
		http_run(loop, STEP);
	free(text);
	buf_free(&w.value);
	kv_free(kv);
	http_free(loop);
	if (w.status != KV_OK) {
		fprintf(stderr, "sequoiactl: not applied: try again\n");
		return EXIT_UNREACHED;
	}
	printf("generation %llu\n", (unsigned long long)generation);
	return EXIT_DONE;
}

int
main(int argc, char **argv)
{
	struct argp argp = { options, parse, "COMMAND [DIR]",
		"Commands: check DIR, apply DIR." };
	struct options o = { .kv = "127.0.0.1:2379" };
	struct folder f = { 0 };
	struct err e = { 0 };
	int rc;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	if (o.command == NULL || o.arg == NULL) {
		fprintf(stderr, "sequoiactl: write check DIR or apply DIR\n");
		return EXIT_USAGE;
	}
	if (check(o.arg, &f, &e) != 0) {
		fprintf(stderr, "sequoiactl: %s\n", e.text);
		rc = EXIT_REFUSED;
	} else if (strcmp(o.command, "apply") == 0) {
		rc = apply(&o, &f);
	} else {
		printf("%s: good\n", o.arg);
		rc = EXIT_DONE;
	}
	folder_free(&f);
	return rc;
}
