/*
 * Length-counted strings.
 *
 * A str refers to bytes that it does not own and that need not end in a NUL.
 * A buf owns its bytes, grows as needed and keeps a NUL after its last byte,
 * so that buf.p can be passed to functions that take a C string.  A zeroed buf
 * is empty and valid.  Running out of memory ends the process.  A buf belongs
 * to one thread at a time.
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
	size_t n;   /* bytes used, without the NUL */
	size_t cap; /* bytes allocated */
};

/* Makes a str of a string literal. */
#define STR(lit)   ((struct str){ (lit), sizeof(lit) - 1 })
/* Expands to the two arguments of "%.*s". */
#define STR_FMT(s) (int)(s).n, ((s).n > 0 ? (s).p : "")

/* Makes a str of a C string; NULL gives an empty str. */
struct str str_from(const char *c);
/* Makes a str of a buffer's contents; valid until the buffer changes. */
struct str str_of(const struct buf *b);
bool str_eq(struct str a, struct str b);
/* Compares bytewise, as strcmp() does. */
int str_cmp(struct str a, struct str b);
bool str_has_prefix(struct str s, struct str prefix);
/* Removes blanks, tabs, CR and LF at both ends. */
struct str str_trim(struct str s);
/*
 * Splits *rest at the first sep: *part is the text before it and *rest the text
 * after it.  Without a sep, *part is all of *rest, and the next call returns
 * false.
 */
bool str_cut(struct str *rest, char sep, struct str *part);
/* Parses decimal digits; false on any other character or on overflow. */
bool str_parse_u64(struct str s, uint64_t *out);
/* Returns a NUL-terminated copy, to be freed with free(). */
char *str_dup(struct str s);

void buf_put(struct buf *b, struct str s);
void buf_putc(struct buf *b, char c);
void buf_printf(struct buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void buf_vprintf(struct buf *b, const char *fmt, va_list ap);
/* Empties the buffer but keeps its memory. */
void buf_clear(struct buf *b);
/* Removes the first n bytes. */
void buf_drop(struct buf *b, size_t n);
void buf_free(struct buf *b);

/* calloc() and reallocarray() that end the process if memory runs out. */
void *xcalloc(size_t n, size_t size);
void *xrealloc(void *p, size_t n, size_t size);

#endif
