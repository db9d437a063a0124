#include "entry/guard.h"
#include "base/str.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

struct guard {
	pthread_mutex_t lock;
	struct guard_body *bodies;
};

struct guard *
guard_new(void)
{
	struct guard *g = xcalloc(1, sizeof(*g));

	pthread_mutex_init(&g->lock, NULL);
	return g;
}

void
guard_enter(struct guard *g, struct guard_body *b)
{
	pthread_mutex_lock(&g->lock);
	b->next = g->bodies;
	g->bodies = b;
	pthread_mutex_unlock(&g->lock);
}

void
guard_leave(struct guard *g, struct guard_body *b)
{
	struct guard_body **at = &g->bodies;

	pthread_mutex_lock(&g->lock);
	while (*at != b)
		at = &(*at)->next;
	*at = b->next;
	pthread_mutex_unlock(&g->lock);
}

void
guard_sweep(struct guard *g, usec_t now)
{
	int fd;

	pthread_mutex_lock(&g->lock);
	for (struct guard_body *b = g->bodies; b != NULL; b = b->next) {
		if (b->cut || now < b->until)
			continue;
		fd = guard_find(b->info);
		if (fd >= 0)
			shutdown(fd, SHUT_RD);
		b->cut = true;
	}
	pthread_mutex_unlock(&g->lock);
}

static bool
is_connection(int fd, const struct mg_request_info *info)
{
	struct sockaddr_in peer = { 0 };
	struct sockaddr_in own = { 0 };
	socklen_t n = sizeof(peer);
	char ip[INET_ADDRSTRLEN];

	if (getpeername(fd, (struct sockaddr *)&peer, &n) != 0 ||
	    peer.sin_family != AF_INET ||
	    ntohs(peer.sin_port) != info->remote_port)
		return false;
	n = sizeof(own);
	if (getsockname(fd, (struct sockaddr *)&own, &n) != 0 ||
	    ntohs(own.sin_port) != info->server_port)
		return false;
	return inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof(ip)) != NULL &&
	    strcmp(ip, info->remote_addr) == 0;
}

int
guard_find(const struct mg_request_info *info)
{
	DIR *d = opendir("/proc/self/fd");
	struct dirent *x;
	uint64_t fd;
	int found = -1;

	if (d == NULL)
		return -1;
	while (found < 0 && (x = readdir(d)) != NULL) {
		if (str_u64(str_from(x->d_name), &fd) &&
		    is_connection((int)fd, info))
			found = (int)fd;
	}
	closedir(d);
	return found;
}

enum guard_peer
guard_look(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };

	if (poll(&p, 1, 0) <= 0)
		return PEER_THERE;
	if ((p.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0)
		return PEER_GONE;
	return PEER_SILENT;
}

void
guard_free(struct guard *g)
{
	pthread_mutex_destroy(&g->lock);
	free(g);
}
