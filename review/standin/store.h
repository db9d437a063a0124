/*
 * The platform's store as the pages describe it: items with revisions, ranges,
 * watches and unconditional writes.  A thread for each connection.
 */
#ifndef REVIEW_STANDIN_STORE_H
#define REVIEW_STANDIN_STORE_H

#include <stdbool.h>
#include <stdint.h>

struct store;

/* Starts the store at a free port of the IP. */
struct store *store_start(const char *ip);
/* Returns "IP:PORT". */
const char *store_addr(const struct store *s);
/* Return false while the store is away. */
bool store_put(struct store *s, const char *key, const char *value);
bool store_delete(struct store *s, const char *key);
/* While it is away, its connections are reset, new ones too. */
void store_set_away(struct store *s, bool away);
/* Makes a copy of all items. */
void store_copy(struct store *s);
/*
 * Goes back to the copy: items, revision and history are those of the copy,
 * and Store-Era rises by one.
 */
void store_restore(struct store *s);
int64_t store_revision(struct store *s);

#endif
