#include "ctl/settings_page.h"
#include "entry/settings.h"
#include "kernel/conf.h"

#include <string.h>

static const char intro[] =
    "# Settings\n"
    "\n"
    "This page is what `sequoiactl settings` prints; a test compares it with "
    "the\ntables in the code.\n"
    "\n"
    "## How the files are written\n"
    "\n"
    "Settings and configuration are INI files: `[section]`, `key = value`, "
    "and\ncomments on lines that start with `;` or `#`.\n"
    "\n"
    "* One sequoiad has one settings file. An option of the same name "
    "overrides a\n  key: `sequoiad --workers=512 FILE`.\n"
    "* The configuration of the fleet is a folder. Its files whose names end "
    "in\n  `.ini` are merged in the order of their names: a later file's key "
    "replaces an\n  earlier one's. Any change is a new or an edited file.\n"
    "* A key with an empty value is unset: its default applies again.\n"
    "* `enabled = no` disables a service, a pipeline or a workspace.\n"
    "* A section names its object: `[pipeline NAME]`, `[service NAME]`,\n"
    "  `[workspace NAME]`, `[stage PIPELINE.STAGE]`, `[policy]` and `[fleet]`. "
    "The\n  keys of `[policy]` apply to all stages; a stage may override "
    "them.\n"
    "\n"
    "A wrong value is refused with its file, line, key, what was found and "
    "what to\nwrite. *Must be set* stands for a key without a default.\n";

static const char table_head[] =
    "\n| Key | Value | Default | Meaning |\n|---|---|---|---|\n";

struct row {
	const char *name;
	const char *kind;
	const char *words; /* the allowed words, or NULL */
	double min;
	double max; /* 0: the page shows no bounds */
	const char *unit;
	const char *default_text; /* NULL: the key must be set */
	const char *doc;
};

static void
put_row(const struct row *r, struct buf *out)
{
	buf_printf(out, "| `%s` | %s", r->name, r->kind);
	if (r->words != NULL && *r->words != '\0')
		buf_printf(out, ": %s", r->words);
	if (r->max > 0)
		buf_printf(out, ", %.12g to %.12g", r->min, r->max);
	if (r->unit != NULL && *r->unit != '\0')
		buf_printf(out, " (%s)", r->unit);
	if (r->default_text == NULL)
		buf_put(out, STR(" | must be set | "));
	else if (*r->default_text == '\0')
		buf_put(out, STR(" | empty | "));
	else
		buf_printf(out, " | `%s` | ", r->default_text);
	buf_printf(out, "%s |\n", r->doc);
}

static const char *
setting_kind(enum setting_type t)
{
	switch (t) {
	case SETTING_TEXT:
		return "text";
	case SETTING_ADDR:
		return "address";
	case SETTING_IP:
		return "IP number";
	case SETTING_ADDRS:
		return "addresses";
	case SETTING_MILLI:
	case SETTING_MSEC:
	case SETTING_SEC:
		return "number";
	case SETTING_U32:
		return "whole number";
	}
	return "";
}

static const char *
conf_kind(enum conf_type t)
{
	switch (t) {
	case CONF_U32:
	case CONF_MSEC:
	case CONF_SEC:
		return "whole number";
	case CONF_BOOL:
		return "`yes` or `no`";
	case CONF_TEXT:
		return "text";
	case CONF_NAMES:
		return "names";
	case CONF_WORD:
		return "one of";
	case CONF_DATE:
		return "date, YYYY-MM-DDTHH:MM:SSZ";
	case CONF_KIND:
		return "stage kind";
	case CONF_BALANCE:
		return "balancing policy";
	}
	return "";
}

static void
put_settings(struct buf *out)
{
	const char *section = "";
	size_t n;
	const struct setting_key *k = settings_keys(&n);

	buf_put(out, STR("\n## Settings of one sequoiad\n"));
	for (size_t i = 0; i < n; i++) {
		if (strcmp(section, k[i].section) != 0) {
			section = k[i].section;
			buf_printf(out, "\n### [%s]\n%s", section, table_head);
		}
		put_row(
		    &(struct row){
			.name = k[i].name,
			.kind = setting_kind(k[i].type),
			.min = (double)k[i].min / setting_scale(k[i].type),
			.max = (double)k[i].max / setting_scale(k[i].type),
			.unit = k[i].unit,
			.default_text = k[i].default_text,
			.doc = k[i].doc,
		    },
		    out);
	}
}

static void
put_object(enum conf_object o, struct buf *out)
{
	size_t n;
	const struct conf_key *k = conf_keys(&n);
	bool bounded;

	buf_printf(out, "\n### [%s%s]\n%s", conf_object_name(o),
	    o == CONF_POLICY || o == CONF_FLEET ? ""
		: o == CONF_STAGE               ? " PIPELINE.STAGE"
						: " NAME",
	    table_head);
	for (size_t i = 0; i < n; i++) {
		if (k[i].object != o)
			continue;
		bounded = k[i].type == CONF_U32 || k[i].type == CONF_MSEC ||
		    k[i].type == CONF_SEC;
		put_row(
		    &(struct row){
			.name = k[i].name,
			.kind = conf_kind(k[i].type),
			.words = k[i].words,
			.min = (double)k[i].min,
			.max = bounded ? (double)k[i].max : 0,
			.unit = k[i].unit,
			.default_text = k[i].default_text,
			.doc = k[i].doc,
		    },
		    out);
	}
}

void
settings_page_write(struct buf *out)
{
	buf_put(out, STR(intro));
	put_settings(out);
	buf_put(out, STR("\n## Configuration of the fleet\n"));
	for (int o = 0; o < CONF_OBJECTS; o++)
		put_object((enum conf_object)o, out);
}
