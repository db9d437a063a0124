#include "base/str.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUF_MIN 64

static void
reserve(struct buf *b, size_t more)
{
	size_t want = b->n + more + 1;
	size_t cap = b->cap > 0 ? b->cap : BUF_MIN;

	if (want <= b->cap)
		return;
	while (cap < want)
		cap *= 2;
	b->p = xrealloc(b->p, cap, 1);
	b->cap = cap;
}

static bool
is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

struct str
str_from(const char *c)
{
	return (struct str){ c, c != NULL ? strlen(c) : 0 };
}

struct str
str_of(const struct buf *b)
{
	return (struct str){ b->p, b->n };
}

bool
str_eq(struct str a, struct str b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

int
str_cmp(struct str a, struct str b)
{
	size_t n = a.n < b.n ? a.n : b.n;
	int r = n > 0 ? memcmp(a.p, b.p, n) : 0;

	if (r != 0)
		return r;
	return (a.n > b.n) - (a.n < b.n);
}

bool
str_has_prefix(struct str s, struct str prefix)
{
	return s.n >= prefix.n &&
	    (prefix.n == 0 || memcmp(s.p, prefix.p, prefix.n) == 0);
}

struct str
str_trim(struct str s)
{
	while (s.n > 0 && is_space(s.p[0])) {
		s.p++;
		s.n--;
	}
	while (s.n > 0 && is_space(s.p[s.n - 1]))
		s.n--;
	return s;
}

bool
str_cut(struct str *rest, char sep, struct str *part)
{
	const char *e;

	if (rest->p == NULL)
		return false;
	e = rest->n > 0 ? memchr(rest->p, sep, rest->n) : NULL;
	if (e == NULL) {
		*part = *rest;
		*rest = (struct str){ NULL, 0 };
		return true;
	}
	part->p = rest->p;
	part->n = (size_t)(e - rest->p);
	rest->n -= part->n + 1;
	rest->p = e + 1;
	return true;
}

bool
str_parse_u64(struct str s, uint64_t *out)
{
	uint64_t v = 0;
	unsigned d;

	if (s.n == 0)
		return false;
	for (size_t i = 0; i < s.n; i++) {
		if (s.p[i] < '0' || s.p[i] > '9')
			return false;
		d = (unsigned)(s.p[i] - '0');
		if (v > (UINT64_MAX - d) / 10)
			return false;
		v = v * 10 + d;
	}
	*out = v;
	return true;
}

char *
str_dup(struct str s)
{
	char *p = xcalloc(1, s.n + 1);

	if (s.n > 0)
		memcpy(p, s.p, s.n);
	return p;
}

void
buf_put(struct buf *b, struct str s)
{
	reserve(b, s.n);
	if (s.n > 0)
		memcpy(b->p + b->n, s.p, s.n);
	b->n += s.n;
	b->p[b->n] = '\0';
}

void
buf_putc(struct buf *b, char c)
{
	buf_put(b, (struct str){ &c, 1 });
}

void
buf_vprintf(struct buf *b, const char *fmt, va_list ap)
{
	va_list again;
	int n;

	va_copy(again, ap);
	n = vsnprintf(NULL, 0, fmt, again);
	va_end(again);
	if (n < 0)
		return;
	reserve(b, (size_t)n);
	vsnprintf(b->p + b->n, (size_t)n + 1, fmt, ap);
	b->n += (size_t)n;
}

void
buf_printf(struct buf *b, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	buf_vprintf(b, fmt, ap);
	va_end(ap);
}

void
buf_clear(struct buf *b)
{
	b->n = 0;
	if (b->p != NULL)
		b->p[0] = '\0';
}

void
buf_drop(struct buf *b, size_t n)
{
	if (n > b->n)
		n = b->n;
	if (n == 0)
		return;
	memmove(b->p, b->p + n, b->n - n);
	b->n -= n;
	b->p[b->n] = '\0';
}

void
buf_free(struct buf *b)
{
	free(b->p);
	*b = (struct buf){ 0 };
}

void *
xcalloc(size_t n, size_t size)
{
	void *p = calloc(n > 0 ? n : 1, size > 0 ? size : 1);

	if (p == NULL)
		err(1, "out of memory: give the process more");
	return p;
}

void *
xrealloc(void *p, size_t n, size_t size)
{
	void *q = reallocarray(p, n > 0 ? n : 1, size > 0 ? size : 1);

	if (q == NULL)
		err(1, "out of memory: give the process more");
	return q;
}
