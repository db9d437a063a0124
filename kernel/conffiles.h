/*
 * A set of the operators' INI files with the hashes of their bodies, and the
 * keys in which two sets differ.
 *
 * Invariant: sorted by name (strcmp), which is the order of merging.  Hashes
 * are SHA-256 in hex; an empty one stands for a file that is not there.
 */
#ifndef KERNEL_CONFFILES_H
#define KERNEL_CONFFILES_H

#include "kernel/conf.h"

struct conffile {
	char *name;
	char hash[HASH_HEX_LEN + 1];
	struct buf body;
	bool has_body; /* body is here */
};

struct conffiles {
	struct conffile *v;
	size_t n;
};

struct confdiff_key {
	char *section;
	char *key;
	char *before; /* NULL: was not set */
	char *after;  /* NULL: is no longer set */
};

struct confdiff {
	struct confdiff_key *v;
	size_t n;
};

/* Adds or replaces a file; false if the name does not end in ".ini". */
bool conffiles_put(struct conffiles *f, const char *name, struct str body);
struct conffile *conffiles_find(const struct conffiles *f, const char *name);
/* Empty if there is no such file. */
const char *conffiles_hash(const struct conffiles *f, const char *name);
/* Sets a file's hash and drops an older body; an empty hash removes it. */
void conffiles_set(struct conffiles *f, const char *name, const char *hash);
void conffiles_copy(struct conffiles *to, const struct conffile *x);
void conffile_set_body(struct conffile *x, struct str body);
/* A file whose body is missing, or NULL. */
const struct conffile *conffiles_missing_body(const struct conffiles *f);
/* The merged configuration; NULL with ERR_NOT_READY or ERR_CONFIG. */
struct conf *conffiles_conf(
    const struct conffiles *f, uint64_t generation, struct err *e);
void conffiles_free(struct conffiles *f);

/* The keys that differ between two sets, sorted by section and key. */
int conffiles_diff(const struct conffiles *before,
    const struct conffiles *after, struct confdiff *out, struct err *e);
/* One line a key: "[section] key: old -> new". */
void confdiff_format(const struct confdiff *keys, struct buf *out);
void confdiff_free(struct confdiff *keys);

#endif
