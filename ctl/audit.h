/* Prints the audit trail, which is the log of configuration changes. */
#ifndef CTL_AUDIT_H
#define CTL_AUDIT_H

#include <jansson.h>
#include <stdbool.h>

/* Prints a record of the configuration log as text or as a line of JSON. */
void audit_print(const json_t *payload, bool json);

#endif
