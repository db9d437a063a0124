#include "kernel/store_listing.h"

void
store_listing_begin(struct store_listing *l)
{
	if (l->active)
		return;
	l->active = true;
	l->revision = 0;
	buf_clear(&l->last_key);
}

enum store_page
store_listing_judge(usec_t asked, usec_t arrived, usec_t usual)
{
	if (asked < usual)
		return STORE_PAGE_IN_TIME;
	return arrived < usual ? STORE_PAGE_SLOW : STORE_PAGE_SILENT;
}

void
store_listing_read(
    struct store_listing *l, int64_t revision, struct str last_key)
{
	/*
	 * Pages are not a consistent snapshot: changes are known from the
	 * revision of the first page.
	 */
	if (l->last_key.n == 0)
		l->revision = revision;
	buf_clear(&l->last_key);
	buf_put(&l->last_key, last_key);
}

void
store_listing_end(struct store_listing *l)
{
	l->active = false;
}

struct store_position
store_listing_position(
    const struct store_listing *l, struct store_position known)
{
	if (l->active && l->revision > known.revision)
		known.revision = l->revision;
	return known;
}

void
store_listing_free(struct store_listing *l)
{
	buf_free(&l->last_key);
}
