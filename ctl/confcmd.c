#include "ctl/confcmd.h"
#include "base/rng.h"
#include "ctl/audit.h"
#include "ctl/folder.h"
#include "ctl/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define APPEND_TIMEOUT     (10 * USEC_PER_SEC)
#define MAX_APPLY_ATTEMPTS 20
#define APPEND_TAG         1

static int
report_error(const struct err *e, int code)
{
	fprintf(stderr, "sequoiactl: %s\n", e->text);
	return code;
}

/* Reads the folder into f and validates the merged configuration. */
static int
read_and_check(const char *dir, struct folder *f, struct err *e)
{
	struct ini set = { 0 };
	struct conf *c = NULL;
	int rc = folder_read(f, dir, e);

	if (rc == 0)
		rc = folder_merge(f, &set, e);
	if (rc == 0 && (c = conf_read(&set, 0, e)) == NULL)
		rc = e->kind;
	conf_unref(c);
	ini_free(&set);
	return rc;
}

static void
to_conffiles(const struct folder *f, struct conffiles *out)
{
	for (size_t i = 0; i < f->n; i++)
		conffiles_put(out, f->v[i].name, str_of(&f->v[i].body));
}

static struct confstate_proposal
make_proposal(
    const struct confcmd_opts *o, const struct conffiles *files, const char *id)
{
	uint64_t base = o->base;

	if (base == BASE_UNSET)
		base = folder_load_base(o->dir);
	return (struct confstate_proposal){
		.base = base,
		.files = files,
		.who = o->who,
		.when = clock_wall(),
		.change_id = id,
	};
}

static bool
put_bodies(struct session *s, const struct confstate_plan *p)
{
	for (size_t i = 0; i < p->record.n_files; i++) {
		const struct confchange *x = &p->record.files[i];

		if (*x->hash == '\0')
			continue;
		if (!session_put_body(s, conffiles_find(&p->files, x->name)))
			return false;
	}
	return true;
}

/* Appends the record; returns ALOG_UNDECIDED also on a timeout. */
static enum alog_result
append(struct session *s, const struct confrecord *r)
{
	s->append_done = false;
	if (conflog_append(s->log, APPEND_TAG, r) != 0)
		return ALOG_DENIED;
	if (!session_wait(s, &s->append_done, APPEND_TIMEOUT))
		return ALOG_UNDECIDED;
	return s->completion.result;
}

static int
report_undecided(const char *id)
{
	fprintf(stderr,
	    "sequoiactl: the key-value service has not confirmed the change; "
	    "it may be in force or not: run the same command again with "
	    "--change-id %s\n",
	    id);
	return EXIT_UNREACHABLE;
}

static void
print_applied(const struct confcmd_opts *o, const struct confrecord *r,
    const char *result)
{
	if (o->json) {
		printf("{\"result\":\"%s\",\"generation\":%llu,"
		       "\"change_id\":\"%s\"}\n",
		    result, (unsigned long long)r->generation,
		    r->change_id != NULL ? r->change_id : "");
		return;
	}
	printf(
	    "%s: generation %llu\n", result, (unsigned long long)r->generation);
}

/* Reports a refusal and records it in the audit trail, if possible. */
static int
report_refusal(struct session *s, const struct confstate_plan *p)
{
	append(s, &p->record);
	return report_error(&p->err, EXIT_REFUSED);
}

/* Updates a file of the folder that differs from the one in force. */
static int
update_file(const struct confcmd_opts *o, const struct conffiles *local,
    const struct conffile *x, struct err *e)
{
	if (strcmp(conffiles_hash(local, x->name), x->hash) == 0)
		return 0;
	fprintf(stderr, "sequoiactl: %s: updated in the folder\n", x->name);
	return folder_write(o->dir, x->name, str_of(&x->body), e);
}

/*
 * Updates the folder to the files in force and saves their generation, so that
 * the next apply does not undo concurrent changes by other operators.
 */
static void
sync_folder(const struct confcmd_opts *o, const struct conffiles *local,
    const struct conffiles *current, uint64_t generation)
{
	struct err e = { 0 };

	for (size_t i = 0; i < current->n && e.kind == ERR_OK; i++)
		update_file(o, local, &current->v[i], &e);
	for (size_t i = 0; i < local->n && e.kind == ERR_OK; i++) {
		if (conffiles_find(current, local->v[i].name) == NULL)
			folder_remove(o->dir, local->v[i].name, &e);
	}
	if (e.kind == ERR_OK)
		folder_save_base(o->dir, generation);
	else
		fprintf(stderr,
		    "sequoiactl: %s; bring the folder up to date with "
		    "sequoiactl pull before the next change\n",
		    e.text);
}

/* Writes the bodies, appends the record and updates the folder. */
static int
commit_plan(struct session *s, const struct confcmd_opts *o,
    const struct conffiles *local, const struct confstate_plan *p,
    const char *id, bool *retry)
{
	enum alog_result res;

	if (!put_bodies(s, p))
		return report_undecided(id);
	res = append(s, &p->record);
	*retry = res == ALOG_DENIED;
	if (*retry)
		return EXIT_DONE;
	if (res != ALOG_ACCEPTED)
		return report_undecided(id);
	print_applied(o, &p->record, "applied");
	sync_folder(o, local, &p->files, p->record.generation);
	if (!o->wait)
		return EXIT_DONE;
	return client_wait_generation(o->operators_addr, p->record.generation);
}

/*
 * Plans the change against the current state and carries out the plan.  Sets
 * *retry if another change was appended first, which outdates the plan.
 */
static int
try_apply(struct session *s, const struct confcmd_opts *o,
    const struct conffiles *files, const char *id, bool *retry)
{
	struct confstate_proposal a = make_proposal(o, files, id);
	struct confstate_plan p;
	int rc = EXIT_DONE;

	*retry = false;
	session_sync(s);
	confstate_plan(conflog_state(s->log), &a, &p);
	switch (p.result) {
	case CONFSTATE_MERGED:
		rc = commit_plan(s, o, files, &p, id, retry);
		break;
	case CONFSTATE_UNCHANGED:
		p.record.generation = conflog_state(s->log)->generation;
		print_applied(o, &p.record, "nothing to change");
		sync_folder(o, files, &conflog_state(s->log)->files,
		    p.record.generation);
		break;
	case CONFSTATE_DUPLICATE:
		print_applied(o, &p.record, "already applied");
		break;
	case CONFSTATE_REFUSED:
		rc = report_refusal(s, &p);
		break;
	case CONFSTATE_NOT_READY:
		rc = report_error(&p.err, EXIT_UNREACHABLE);
		break;
	}
	confstate_plan_free(&p);
	return rc;
}

static int
apply_files(struct session *s, const struct confcmd_opts *o,
    const struct conffiles *files)
{
	char id[32];
	bool retry = true;
	int rc = EXIT_DONE;

	snprintf(id, sizeof(id), "%016llx", (unsigned long long)rng_entropy());
	for (int i = 0; retry && i < MAX_APPLY_ATTEMPTS; i++)
		rc = try_apply(s, o, files,
		    o->change_id != NULL ? o->change_id : id, &retry);
	if (!retry)
		return rc;
	fprintf(stderr,
	    "sequoiactl: other changes were applied first %d times: "
	    "run the command again\n",
	    MAX_APPLY_ATTEMPTS);
	return EXIT_REFUSED;
}

int
confcmd_check(const struct confcmd_opts *o)
{
	struct folder f = { 0 };
	struct err e = { 0 };
	int rc = read_and_check(o->dir, &f, &e);

	if (rc == 0)
		printf("%s: good\n", o->dir);
	folder_free(&f);
	return rc == 0 ? EXIT_DONE : report_error(&e, EXIT_REFUSED);
}

/* Function of a command that works on the folder's files and the log. */
typedef int (*folder_fn)(struct session *s, const struct confcmd_opts *o,
    const struct conffiles *files);

/* Reads the folder and the log and calls fn with both. */
static int
with_folder(const struct confcmd_opts *o, folder_fn fn)
{
	struct folder f = { 0 };
	struct conffiles files = { 0 };
	struct session s = { 0 };
	struct err e = { 0 };
	int rc;

	if (folder_read(&f, o->dir, &e) != 0) {
		folder_free(&f);
		return report_error(&e, EXIT_REFUSED);
	}
	to_conffiles(&f, &files);
	rc = session_open(&s, &(struct session_opts){ .kv = o->kv }, &e);
	if (rc == EXIT_DONE)
		rc = fn(&s, o, &files);
	else
		report_error(&e, rc);
	session_close(&s);
	conffiles_free(&files);
	folder_free(&f);
	return rc;
}

static int
print_diff(struct session *s, const struct confcmd_opts *o,
    const struct conffiles *files)
{
	struct confdiff keys = { 0 };
	struct buf text = { 0 };
	struct err e = { 0 };

	(void)o;
	if (conffiles_diff(&conflog_state(s->log)->files, files, &keys, &e) !=
	    0)
		return report_error(&e, EXIT_REFUSED);
	confdiff_format(&keys, &text);
	printf("%.*s", STR_FMT(str_of(&text)));
	buf_free(&text);
	confdiff_free(&keys);
	return EXIT_DONE;
}

int
confcmd_apply(const struct confcmd_opts *o)
{
	return with_folder(o, apply_files);
}

int
confcmd_diff(const struct confcmd_opts *o)
{
	return with_folder(o, print_diff);
}

/*
 * Computes the files of an older generation by undoing later records.  Returns
 * false if the generation is in the future or its history is not retained.
 */
static bool
rewind_files(
    const struct confstate *s, uint64_t generation, struct conffiles *out)
{
	if (generation > s->generation ||
	    (generation < s->generation && generation < s->oldest_base))
		return false;
	for (size_t i = 0; i < s->files.n; i++)
		conffiles_set(out, s->files.v[i].name, s->files.v[i].hash);
	for (size_t i = s->n_history; i-- > 0;) {
		const struct confrecord *r = &s->history[i];

		if (!r->accepted || r->generation <= generation)
			continue;
		for (size_t j = 0; j < r->n_files; j++)
			conffiles_set(
			    out, r->files[j].name, r->files[j].old_hash);
	}
	return true;
}

static int
print_file(struct session *s, const struct conffile *x)
{
	struct buf body = { 0 };
	bool ok = session_get_body(s, x->hash, &body);

	if (ok)
		printf("; file %s\n%.*s", x->name, STR_FMT(str_of(&body)));
	else
		fprintf(stderr,
		    "sequoiactl: %s: its body can't be read from the "
		    "key-value service: run the command again\n",
		    x->name);
	buf_free(&body);
	return ok ? EXIT_DONE : EXIT_UNREACHABLE;
}

int
confcmd_show(const struct confcmd_opts *o)
{
	struct conffiles files = { 0 };
	struct session s = { 0 };
	struct err e = { 0 };
	uint64_t g = o->generation;
	int rc = session_open(&s, &(struct session_opts){ .kv = o->kv }, &e);

	if (rc != EXIT_DONE) {
		report_error(&e, rc);
		goto out;
	}
	if (g == 0)
		g = conflog_state(s.log)->generation;
	if (!rewind_files(conflog_state(s.log), g, &files)) {
		err_set(&e, ERR_NOT_FOUND,
		    "generation %llu does not exist or is no longer "
		    "retained: see sequoiactl audit",
		    (unsigned long long)g);
		rc = report_error(&e, EXIT_REFUSED);
		goto out;
	}
	printf("; generation %llu\n", (unsigned long long)g);
	for (size_t i = 0; rc == EXIT_DONE && i < files.n; i++)
		rc = print_file(&s, &files.v[i]);
out:
	conffiles_free(&files);
	session_close(&s);
	return rc;
}

int
confcmd_pull(const struct confcmd_opts *o)
{
	struct session s = { 0 };
	struct err e = { 0 };
	const struct confstate *st;
	int rc = session_open(&s, &(struct session_opts){ .kv = o->kv }, &e);

	if (rc != EXIT_DONE) {
		report_error(&e, rc);
		goto out;
	}
	if (folder_create(o->dir, &e) != 0) {
		rc = report_error(&e, EXIT_REFUSED);
		goto out;
	}
	st = conflog_state(s.log);
	for (size_t i = 0; rc == EXIT_DONE && i < st->files.n; i++) {
		const struct conffile *x = &st->files.v[i];

		if (folder_write(o->dir, x->name, str_of(&x->body), &e) != 0)
			rc = report_error(&e, EXIT_REFUSED);
	}
	if (rc == EXIT_DONE) {
		folder_save_base(o->dir, st->generation);
		printf("generation %llu\n", (unsigned long long)st->generation);
	}
out:
	session_close(&s);
	return rc;
}

static void
on_record(void *arg, const json_t *payload)
{
	const struct confcmd_opts *o = arg;

	audit_print(payload, o->json);
}

int
confcmd_audit(const struct confcmd_opts *o)
{
	struct session s = { 0 };
	struct err e = { 0 };
	int rc = session_open(&s,
	    &(struct session_opts){
		.kv = o->kv,
		.record = on_record,
		.arg = (void *)o,
	    },
	    &e);

	if (rc != EXIT_DONE)
		report_error(&e, rc);
	session_close(&s);
	return rc;
}
