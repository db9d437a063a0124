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
	struct connfd_reads *reads = xcalloc(1, sizeof(*reads));

	pthread_mutex_init(&reads->lock, NULL);
	return reads;
}

void
connfd_begin_read(struct connfd_reads *reads, struct connfd_read *r)
{
	pthread_mutex_lock(&reads->lock);
	r->next = reads->bodies;
	reads->bodies = r;
	pthread_mutex_unlock(&reads->lock);
}

void
connfd_end_read(struct connfd_reads *reads, struct connfd_read *r)
{
	struct connfd_read **at = &reads->bodies;

	pthread_mutex_lock(&reads->lock);
	while (*at != r)
		at = &(*at)->next;
	*at = r->next;
	pthread_mutex_unlock(&reads->lock);
}

void
connfd_sweep(struct connfd_reads *reads, usec_t now)
{
	int fd;

	pthread_mutex_lock(&reads->lock);
	for (struct connfd_read *r = reads->bodies; r != NULL; r = r->next) {
		if (r->shut_down || now < r->deadline)
			continue;
		fd = connfd_find(r->info);
		if (fd >= 0)
			shutdown(fd, SHUT_RD);
		r->shut_down = true;
	}
	pthread_mutex_unlock(&reads->lock);
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
	struct dirent *entry;
	uint64_t fd;
	int found = -1;

	if (d == NULL)
		return -1;
	while (found < 0 && (entry = readdir(d)) != NULL) {
		if (str_parse_u64(str_from(entry->d_name), &fd) &&
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
connfd_free(struct connfd_reads *reads)
{
	pthread_mutex_destroy(&reads->lock);
	free(reads);
}
