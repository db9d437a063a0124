/* Printing records of the audit trail. */
#ifndef CTL_AUDIT_H
#define CTL_AUDIT_H

#include <jansson.h>
#include <stdbool.h>

/* Prints one record of the configuration log, as text or as a JSON line. */
void audit_print(const json_t *payload, bool json);

#endif
