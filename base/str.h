/*
 * Length-counted strings.
 *
 * A str borrows bytes that live elsewhere and need not end in a NUL.
 * A buf owns its bytes, grows as needed and always keeps a NUL past its end,
 * so that buf.p can be given to a C interface.  A zeroed buf is empty and
 * valid.  Running out of memory ends the process.
 */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct str {
	const char *p;
	size_t n;
};

struct buf {
	char *p;
	size_t n;
	size_t cap;
};

/* A str over a string literal. */
#define STR(lit)   ((struct str){ (lit), sizeof(lit) - 1 })
/* The two arguments that "%.*s" takes. */
#define STR_FMT(s) (int)(s).n, ((s).n > 0 ? (s).p : "")

struct str str_from(const char *c);
struct str str_of(const struct buf *b);
bool str_eq(struct str a, struct str b);
int str_cmp(struct str a, struct str b);
bool str_has_prefix(struct str s, struct str prefix);
struct str str_trim(struct str s);
/* Cuts the part before the first sep off *rest; false when *rest is spent. */
bool str_cut(struct str *rest, char sep, struct str *part);
/* Parses a whole decimal number; false on anything else or on overflow. */
bool str_parse_u64(struct str s, uint64_t *out);
/* An owned, NUL-terminated copy; freed with free(). */
char *str_dup(struct str s);

void buf_put(struct buf *b, struct str s);
void buf_putc(struct buf *b, char c);
void buf_printf(struct buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void buf_vprintf(struct buf *b, const char *fmt, va_list ap);
/* Empties the buffer and keeps its memory. */
void buf_clear(struct buf *b);
/* Removes the first n bytes. */
void buf_drop(struct buf *b, size_t n);
void buf_free(struct buf *b);

/* Allocation that ends the process when memory is out. */
void *xcalloc(size_t n, size_t size);
void *xrealloc(void *p, size_t n, size_t size);

#endif
