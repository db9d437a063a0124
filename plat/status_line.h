/*
 * Check of the first line of a response (RFC 9112, 4): HTTP/D.D, a space, and a
 * status of three digits from 100 to 599.  The parsers that read responses take
 * other numbers too, and spaces before them.
 */
#ifndef PLAT_STATUS_LINE_H
#define PLAT_STATUS_LINE_H

#include "base/str.h"

#include <stdbool.h>

/* Bytes of the line that are checked: the last one ends the status. */
#define STATUS_LINE_BYTES 13

/* Whether a line begins as that of a response, as far as it is there. */
bool status_line_is_valid(struct str line);

#endif
