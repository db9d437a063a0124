#include "plat/status_line.h"

#include <glib.h>

/* d: a digit, f: the first one of a status, e: a space or the line's end. */
static const char pattern[STATUS_LINE_BYTES + 1] = "HTTP/d.d fdde";

bool
status_line_is_valid(struct str line)
{
	for (size_t i = 0; i < line.n && i < STATUS_LINE_BYTES; i++) {
		char c = line.p[i];
		bool ok;

		switch (pattern[i]) {
		case 'd':
			ok = g_ascii_isdigit(c);
			break;
		case 'f':
			ok = c >= '1' && c <= '5';
			break;
		case 'e':
			ok = c == ' ' || c == '\r' || c == '\n';
			break;
		default:
			ok = c == pattern[i];
		}
		if (!ok)
			return false;
	}
	return true;
}
