#include "entry/inbox.h"

#include <pthread.h>
#include <stdlib.h>

struct inbox {
	pthread_mutex_t lock;
	struct mail *head;
	struct mail **tail;
};

struct inbox *
inbox_new(void)
{
	struct inbox *in = xcalloc(1, sizeof(*in));

	pthread_mutex_init(&in->lock, NULL);
	in->tail = &in->head;
	return in;
}

struct mail *
mail_new(enum mail_kind kind)
{
	struct mail *m = xcalloc(1, sizeof(*m));

	m->kind = kind;
	return m;
}

void
inbox_put(struct inbox *in, struct mail *m)
{
	m->next = NULL;
	pthread_mutex_lock(&in->lock);
	*in->tail = m;
	in->tail = &m->next;
	pthread_mutex_unlock(&in->lock);
}

struct mail *
inbox_take(struct inbox *in)
{
	struct mail *m;

	pthread_mutex_lock(&in->lock);
	m = in->head;
	if (m != NULL) {
		in->head = m->next;
		if (in->head == NULL)
			in->tail = &in->head;
	}
	pthread_mutex_unlock(&in->lock);
	return m;
}

void
mail_free(struct mail *m)
{
	switch (m->kind) {
	case MAIL_CLAIM:
		action_clear(&m->action);
		break;
	case MAIL_LETTER:
		xdr_free((xdrproc_t)xdr_peer_letter, (char *)&m->letter);
		break;
	case MAIL_FETCHED:
		buf_free(&m->fetched.value);
		break;
	case MAIL_VIEW:
		view_free(m->view);
		break;
	case MAIL_LEFT:
	case MAIL_DRAIN:
		break;
	}
	free(m);
}

void
inbox_free(struct inbox *in)
{
	struct mail *m;

	while ((m = inbox_take(in)) != NULL)
		mail_free(m);
	pthread_mutex_destroy(&in->lock);
	free(in);
}
