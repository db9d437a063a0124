#include "tests/kernel/testconf.h"

#include <glib.h>

struct conf *
testconf_read(const char *path)
{
	struct ini set = { 0 };
	struct buf text = { 0 };
	struct err e = { 0 };
	struct conf *c = NULL;

	if (ini_read_file(path, &text, &e) != 0 ||
	    ini_add(&set, path, str_of(&text), &e) != 0 ||
	    (c = conf_read(&set, 1, &e)) == NULL)
		g_error("%s", e.text);
	ini_free(&set);
	buf_free(&text);
	return c;
}
