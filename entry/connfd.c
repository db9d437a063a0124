#include "entry/connfd.h"
#include "base/str.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

struct connfd_reads {
	pthread_mutex_t lock;
	struct connfd_read *bodies;
};

struct connfd_reads *
connfd_new(void)
{
	struct connfd_reads *g = xcalloc(1, sizeof(*g));

	pthread_mutex_init(&g->lock, NULL);
	return g;
}

void
connfd_begin_read(struct connfd_reads *g, struct connfd_read *b)
{
	pthread_mutex_lock(&g->lock);
	b->next = g->bodies;
	g->bodies = b;
	pthread_mutex_unlock(&g->lock);
}

void
connfd_end_read(struct connfd_reads *g, struct connfd_read *b)
{
	struct connfd_read **at = &g->bodies;

	pthread_mutex_lock(&g->lock);
	while (*at != b)
		at = &(*at)->next;
	*at = b->next;
	pthread_mutex_unlock(&g->lock);
}

void
connfd_sweep(struct connfd_reads *g, usec_t now)
{
	int fd;

	pthread_mutex_lock(&g->lock);
	for (struct connfd_read *b = g->bodies; b != NULL; b = b->next) {
		if (b->shut_down || now < b->deadline)
			continue;
		fd = connfd_find(b->info);
		if (fd >= 0)
			shutdown(fd, SHUT_RD);
		b->shut_down = true;
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
connfd_find(const struct mg_request_info *info)
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

enum connfd_peer_state
connfd_state(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };

	if (poll(&p, 1, 0) <= 0)
		return CONNFD_OPEN;
	if ((p.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0)
		return CONNFD_CLOSED;
	return CONNFD_HALF_CLOSED;
}

void
connfd_free(struct connfd_reads *g)
{
	pthread_mutex_destroy(&g->lock);
	free(g);
}
