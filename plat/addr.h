/* Addresses as text, IP:PORT with an IPv4 number. */
#ifndef PLAT_ADDR_H
#define PLAT_ADDR_H

#include "base/str.h"

#include <netinet/in.h>

/* False if the text is no address. */
bool addr_parse(struct str text, struct sockaddr_in *out);

#endif
