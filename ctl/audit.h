/* Prints the audit trail: the records of the configuration log. */
#ifndef CTL_AUDIT_H
#define CTL_AUDIT_H

#include <jansson.h>
#include <stdbool.h>

/* Prints one record as text or as a line of JSON. */
void audit_print(const json_t *payload, bool json);

#endif
