#include "plat/addr.h"

#include <arpa/inet.h>
#include <string.h>

bool
addr_parse(struct str text, struct sockaddr_in *out)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = text.n > 0 ? memrchr(text.p, ':', text.n) : NULL;
	struct str port;
	uint64_t n;

	if (colon == NULL || (size_t)(colon - text.p) >= sizeof(ip))
		return false;
	memcpy(ip, text.p, (size_t)(colon - text.p));
	ip[colon - text.p] = '\0';
	port.p = colon + 1;
	port.n = text.n - (size_t)(port.p - text.p);
	if (!str_parse_u64(port, &n) || n > UINT16_MAX)
		return false;
	*out = (struct sockaddr_in){ .sin_family = AF_INET,
		.sin_port = htons((uint16_t)n) };
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}
