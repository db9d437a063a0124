/*
 * A set of the operators' INI files with the hashes of their bodies, and the
 * keys in which two sets differ.
 *
 * Invariant: a set is sorted by name (strcmp), which is also the order of
 * merging.  Hashes are SHA-256 in hex; an empty hash stands for a file that
 * does not exist.
 */
#ifndef KERNEL_CONFFILES_H
#define KERNEL_CONFFILES_H

#include "kernel/conf.h"

struct conffile {
	char *name;
	char hash[HASH_HEX_LEN + 1];
	struct buf body;
	bool has_body; /* body is set */
};

struct conffiles {
	struct conffile *v;
	size_t n;
};

/* A key whose value differs between two sets. */
struct confdiff_key {
	char *section;
	char *key;
	char *before; /* NULL: not set before */
	char *after;  /* NULL: not set after */
};

struct confdiff {
	struct confdiff_key *v;
	size_t n;
};

/* Adds or replaces a file; false if the name does not end in ".ini". */
bool conffiles_put(struct conffiles *f, const char *name, struct str body);
struct conffile *conffiles_find(const struct conffiles *f, const char *name);
/* The hash of a file; empty if there is no such file. */
const char *conffiles_hash(const struct conffiles *f, const char *name);
/* Sets a file's hash and drops its old body; an empty hash removes the file. */
void conffiles_set(struct conffiles *f, const char *name, const char *hash);
/* Copies a file, with its body if present, into another set. */
void conffiles_copy(struct conffiles *to, const struct conffile *x);
/* Sets the body of a file, which must match its hash. */
void conffile_set_body(struct conffile *x, struct str body);
/* A file whose body is missing, or NULL. */
const struct conffile *conffiles_missing_body(const struct conffiles *f);
/* The merged configuration; NULL with ERR_NOT_READY or ERR_CONFIG. */
struct conf *conffiles_conf(
    const struct conffiles *f, uint64_t generation, struct err *e);
void conffiles_free(struct conffiles *f);

/*
 * Lists the keys that differ between two sets, sorted by section and key.
 * Returns ERR_NOT_READY if a body is missing.
 */
int conffiles_diff(const struct conffiles *before,
    const struct conffiles *after, struct confdiff *out, struct err *e);
/* Appends one line for each key: "[section] key: old -> new". */
void confdiff_format(const struct confdiff *keys, struct buf *out);
void confdiff_free(struct confdiff *keys);

#endif
