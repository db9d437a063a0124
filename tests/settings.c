#include "tests/settings.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
settings_read(struct ini *ini, const char *path)
{
	struct buf b = { 0 };
	struct err e;

	if (ini_read_file(path, &b, &e) != 0 ||
	    ini_add(ini, path, str_of(&b), &e) != 0) {
		fprintf(
		    stderr, "%s: %s\n", program_invocation_short_name, e.text);
		exit(EXIT_FAILURE);
	}
	buf_free(&b);
}

const char *
settings_text(const struct ini *ini, const char *section, const char *key,
    const char *fallback)
{
	const struct ini_entry *e = ini_find(ini, section, key);

	if (e != NULL)
		return e->value;
	if (fallback != NULL)
		return fallback;
	fprintf(stderr, "%s: [%s] %s is not set\n",
	    program_invocation_short_name, section, key);
	exit(EXIT_FAILURE);
}

uint32_t
settings_number(const struct ini *ini, const char *section, const char *key,
    const char *fallback)
{
	const char *t = settings_text(ini, section, key, fallback);
	uint64_t n;

	if (str_parse_u64(str_from(t), &n) && n <= UINT32_MAX)
		return (uint32_t)n;
	fprintf(stderr, "%s: [%s] %s = %s is no number\n",
	    program_invocation_short_name, section, key, t);
	exit(EXIT_FAILURE);
}

bool
settings_starts_section(const struct ini *ini, size_t entry, const char *prefix)
{
	const char *s = ini->entries[entry].section;

	for (size_t i = 0; i < entry; i++) {
		if (strcmp(ini->entries[i].section, s) == 0)
			return false;
	}
	return str_has_prefix(str_from(s), str_from(prefix));
}
