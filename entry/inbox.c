#include "entry/inbox.h"
#include "base/log.h"

#include <pthread.h>
#include <stdlib.h>

struct inbox {
	pthread_mutex_t lock;
	struct inbox_msg *head;
	struct inbox_msg **tail;
	size_t bytes; /* of datagrams */
};

struct inbox *
inbox_new(void)
{
	struct inbox *in = xcalloc(1, sizeof(*in));

	pthread_mutex_init(&in->lock, NULL);
	in->tail = &in->head;
	return in;
}

struct inbox_msg *
inbox_msg_new(enum inbox_msg_kind kind)
{
	struct inbox_msg *m = xcalloc(1, sizeof(*m));

	m->kind = kind;
	return m;
}

bool
inbox_put(struct inbox *in, struct inbox_msg *m)
{
	bool fits;

	m->next = NULL;
	if (m->kind == INBOX_DATAGRAM)
		m->bytes = sizeof(*m) +
		    xdr_sizeof((xdrproc_t)xdr_peer_letter, &m->datagram);
	pthread_mutex_lock(&in->lock);
	fits = m->bytes == 0 || in->bytes + m->bytes <= INBOX_MAX_BYTES;
	if (fits) {
		in->bytes += m->bytes;
		*in->tail = m;
		in->tail = &m->next;
	}
	pthread_mutex_unlock(&in->lock);
	if (!fits) {
		log_text(LOG_LVL_WARNING, "datagram-dropped",
		    "of kind %d, as %zu bytes of others wait",
		    (int)m->datagram.body.kind, INBOX_MAX_BYTES);
		inbox_msg_free(m);
	}
	return fits;
}

struct inbox_msg *
inbox_take(struct inbox *in)
{
	struct inbox_msg *m;

	pthread_mutex_lock(&in->lock);
	m = in->head;
	if (m != NULL) {
		in->bytes -= m->bytes;
		in->head = m->next;
		if (in->head == NULL)
			in->tail = &in->head;
	}
	pthread_mutex_unlock(&in->lock);
	return m;
}

void
inbox_msg_free(struct inbox_msg *m)
{
	switch (m->kind) {
	case INBOX_CLAIM:
		action_clear(&m->action);
		break;
	case INBOX_DATAGRAM:
		xdr_free((xdrproc_t)xdr_peer_letter, (char *)&m->datagram);
		break;
	case INBOX_FETCHED:
		held_end(&m->fetched.held);
		buf_free(&m->fetched.value);
		break;
	case INBOX_VIEW:
		view_free(m->view);
		break;
	case INBOX_TARGET_LEAVING:
	case INBOX_DRAIN:
		break;
	}
	free(m);
}

void
inbox_free(struct inbox *in)
{
	struct inbox_msg *m;

	while ((m = inbox_take(in)) != NULL)
		inbox_msg_free(m);
	pthread_mutex_destroy(&in->lock);
	free(in);
}
