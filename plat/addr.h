/* Parser of IPv4 addresses of the form IP:PORT. */
#ifndef PLAT_ADDR_H
#define PLAT_ADDR_H

#include "base/str.h"

#include <netinet/in.h>

/* Returns false if text is not a valid address. */
bool addr_parse(struct str text, struct sockaddr_in *out);

#endif
