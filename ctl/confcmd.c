#include "ctl/confcmd.h"
#include "base/rng.h"
#include "ctl/audit.h"
#include "ctl/folder.h"
#include "ctl/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define APPEND_TIME (10 * USEC_PER_SEC)
#define MAX_REPLANS 20
#define TAG         1

static int
complain(const struct err *e, int code)
{
	fprintf(stderr, "sequoiactl: %s\n", e->text);
	return code;
}

/* Reads and merges the folder; the merged set must be sound. */
static int
read_checked(const char *dir, struct folder *f, struct err *e)
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
describe(
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

/* Appends the record; ALOG_UNDECIDED also when the time is up. */
static enum alog_result
append(struct session *s, const struct confrecord *r)
{
	s->append_done = false;
	if (conflog_append(s->log, TAG, r) != 0)
		return ALOG_DENIED;
	if (!session_wait(s, &s->append_done, APPEND_TIME))
		return ALOG_UNDECIDED;
	return s->completion.result;
}

static int
undecided(const char *id)
{
	fprintf(stderr,
	    "sequoiactl: the key-value service has not confirmed the change; "
	    "it may be in force or not: run the same command again with "
	    "--change-id %s\n",
	    id);
	return EXIT_UNREACHABLE;
}

static void
print_applied(
    const struct confcmd_opts *o, const struct confrecord *r, const char *result)
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

/* Says the refusal and keeps it in the audit trail, if that can be done. */
static int
refused(struct session *s, const struct confstate_plan *p)
{
	append(s, &p->record);
	return complain(&p->err, EXIT_REFUSED);
}

/* Writes a file that another operator has changed into the folder. */
static int
take_over(const struct confcmd_opts *o, const struct conffiles *mine,
    const struct conffile *x, struct err *e)
{
	if (strcmp(conffiles_hash(mine, x->name), x->hash) == 0)
		return 0;
	fprintf(
	    stderr, "sequoiactl: %s: taken over into the folder\n", x->name);
	return folder_write(o->dir, x->name, str_of(&x->body), e);
}

/*
 * Brings the folder to the state in force, so that its next apply does not
 * undo what others have changed meanwhile, and notes the generation.
 */
static void
sync_folder(const struct confcmd_opts *o, const struct conffiles *mine,
    const struct conffiles *now, uint64_t generation)
{
	struct err e = { 0 };

	for (size_t i = 0; i < now->n && e.kind == ERR_OK; i++)
		take_over(o, mine, &now->v[i], &e);
	for (size_t i = 0; i < mine->n && e.kind == ERR_OK; i++) {
		if (conffiles_find(now, mine->v[i].name) == NULL)
			folder_remove(o->dir, mine->v[i].name, &e);
	}
	if (e.kind == ERR_OK)
		folder_save_base(o->dir, generation);
	else
		fprintf(stderr,
		    "sequoiactl: %s; bring the folder up to date with "
		    "sequoiactl pull before the next change\n",
		    e.text);
}

static int
merged(struct session *s, const struct confcmd_opts *o,
    const struct conffiles *mine, const struct confstate_plan *p,
    const char *id, bool *again)
{
	enum alog_result res;

	if (!put_bodies(s, p))
		return undecided(id);
	res = append(s, &p->record);
	*again = res == ALOG_DENIED;
	if (*again)
		return EXIT_DONE;
	if (res != ALOG_ACCEPTED)
		return undecided(id);
	print_applied(o, &p->record, "applied");
	sync_folder(o, mine, &p->files, p->record.generation);
	if (!o->wait)
		return EXIT_DONE;
	return client_wait_generation(o->operators_addr, p->record.generation);
}

/* One try: plans against the state as it is now and carries the plan out. */
static int
try_apply(struct session *s, const struct confcmd_opts *o,
    const struct conffiles *files, const char *id, bool *again)
{
	struct confstate_proposal a = describe(o, files, id);
	struct confstate_plan p;
	int rc = EXIT_DONE;

	*again = false;
	session_sync(s);
	confstate_plan(conflog_state(s->log), &a, &p);
	switch (p.result) {
	case CONFSTATE_MERGED:
		rc = merged(s, o, files, &p, id, again);
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
		rc = refused(s, &p);
		break;
	case CONFSTATE_NOT_READY:
		rc = complain(&p.err, EXIT_UNREACHABLE);
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
	bool again = true;
	int rc = EXIT_DONE;

	snprintf(id, sizeof(id), "%016llx", (unsigned long long)rng_entropy());
	for (int i = 0; again && i < MAX_REPLANS; i++)
		rc = try_apply(s, o, files,
		    o->change_id != NULL ? o->change_id : id, &again);
	if (!again)
		return rc;
	fprintf(stderr,
	    "sequoiactl: overtaken by other changes %d times: "
	    "run the command again\n",
	    MAX_REPLANS);
	return EXIT_REFUSED;
}

int
confcmd_check(const struct confcmd_opts *o)
{
	struct folder f = { 0 };
	struct err e = { 0 };
	int rc = read_checked(o->dir, &f, &e);

	if (rc == 0)
		printf("%s: good\n", o->dir);
	folder_free(&f);
	return rc == 0 ? EXIT_DONE : complain(&e, EXIT_REFUSED);
}

/* What a command does with the folder's files and the log. */
typedef int (*folder_work)(struct session *s, const struct confcmd_opts *o,
    const struct conffiles *files);

/* Reads the folder and the log, and works on them. */
static int
with_folder(const struct confcmd_opts *o, folder_work work)
{
	struct folder f = { 0 };
	struct conffiles files = { 0 };
	struct session s = { 0 };
	struct err e = { 0 };
	int rc;

	if (folder_read(&f, o->dir, &e) != 0) {
		folder_free(&f);
		return complain(&e, EXIT_REFUSED);
	}
	to_conffiles(&f, &files);
	rc = session_open(&s, &(struct session_opts){ .kv = o->kv }, &e);
	if (rc == EXIT_DONE)
		rc = work(&s, o, &files);
	else
		complain(&e, rc);
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
		return complain(&e, EXIT_REFUSED);
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

/* Goes back from the present files to those of an older generation. */
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
		    "sequoiactl: %s: its body can't be read: try "
		    "again\n",
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
		complain(&e, rc);
		goto out;
	}
	if (g == 0)
		g = conflog_state(s.log)->generation;
	if (!rewind_files(conflog_state(s.log), g, &files)) {
		err_set(&e, ERR_NOT_FOUND,
		    "generation %llu is not known any more or not yet: see "
		    "sequoiactl audit",
		    (unsigned long long)g);
		rc = complain(&e, EXIT_REFUSED);
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
		complain(&e, rc);
		goto out;
	}
	if (folder_create(o->dir, &e) != 0) {
		rc = complain(&e, EXIT_REFUSED);
		goto out;
	}
	st = conflog_state(s.log);
	for (size_t i = 0; rc == EXIT_DONE && i < st->files.n; i++) {
		const struct conffile *x = &st->files.v[i];

		if (folder_write(o->dir, x->name, str_of(&x->body), &e) != 0)
			rc = complain(&e, EXIT_REFUSED);
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
		complain(&e, rc);
	session_close(&s);
	return rc;
}
