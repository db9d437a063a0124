#include "entry/connfd.h"
#include "base/str.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
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
is_connection(int fd, const void *arg)
{
	const struct mg_request_info *info = arg;
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

/* Returns the first descriptor of the process that matches, or -1. */
static int
find_fd(bool (*matches)(int fd, const void *arg), const void *arg)
{
	DIR *d = opendir("/proc/self/fd");
	struct dirent *entry;
	uint64_t fd;
	int found = -1;

	if (d == NULL)
		return -1;
	while (found < 0 && (entry = readdir(d)) != NULL) {
		if (str_parse_u64(str_from(entry->d_name), &fd) &&
		    matches((int)fd, arg))
			found = (int)fd;
	}
	closedir(d);
	return found;
}

int
connfd_find(const struct mg_request_info *info)
{
	return find_fd(is_connection, info);
}

/* Whether the socket listens at the address. */
static bool
is_listener(int fd, const void *addr)
{
	struct sockaddr_in own = { 0 };
	socklen_t n = sizeof(own);
	int listens = 0;
	socklen_t m = sizeof(listens);
	char ip[INET_ADDRSTRLEN];
	char text[INET_ADDRSTRLEN + 8];

	if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &m) != 0 ||
	    !listens || getsockname(fd, (struct sockaddr *)&own, &n) != 0 ||
	    own.sin_family != AF_INET ||
	    inet_ntop(AF_INET, &own.sin_addr, ip, sizeof(ip)) == NULL)
		return false;
	snprintf(text, sizeof(text), "%s:%u", ip, ntohs(own.sin_port));
	return strcmp(text, addr) == 0;
}

bool
connfd_stop_listening(const char *addr)
{
	struct tcp_info info = { 0 };
	socklen_t n = sizeof(info);
	int fd = find_fd(is_listener, addr);

	if (fd < 0)
		return true;
	/* Of a listening socket: the connections that wait. */
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &n) == 0 &&
	    info.tcpi_unacked > 0)
		return false;
	return shutdown(fd, SHUT_RD) == 0;
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
