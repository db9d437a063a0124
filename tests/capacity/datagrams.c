/* Sizes of the datagrams that sequoiads send each other. */
#include "tests/capacity/capacity.h"
#include "entry/peer.h"

#define RPC_BYTES 40 /* RPC call header without credentials */
#define NET_BYTES 28 /* IP and UDP headers */
#define MAC_BYTES 64

/* Returns the bytes on the network of a datagram with this body. */
static double
datagram_bytes(const peer_body *body)
{
	peer_letter l = { .from = (char *)"entry-0001",
		.rpc = (char *)"10.1.0.1:7000",
		.body = *body };
	peer_sealed s = { .body = { .body_len = (u_int)xdr_sizeof(
					(xdrproc_t)xdr_peer_letter, &l) } };

	return (
	    double)(s.body.body_len + 4 + MAC_BYTES + RPC_BYTES + NET_BYTES);
}

static void
measure_share_datagrams(void)
{
	peer_share_claim claims[PEER_BATCH_MAX];
	peer_grant grants[PEER_BATCH_MAX];

	for (u_int i = 0; i < PEER_BATCH_MAX; i++) {
		claims[i].workspace = (char *)"workspace-17";
		grants[i].workspace = (char *)"workspace-17";
	}
	for (u_int n = 1; n <= PEER_BATCH_MAX; n += PEER_BATCH_MAX - 1) {
		peer_body b = { .kind = PEER_SHARE_REPORT };
		peer_body r = { .kind = PEER_SHARE_REPLY };

		b.peer_body_u.report.claims.claims_val = claims;
		b.peer_body_u.report.claims.claims_len = n;
		r.peer_body_u.reply.grants.grants_val = grants;
		r.peer_body_u.reply.grants.grants_len = n;
		record_point("a report of shares, B per workspace", n,
		    datagram_bytes(&b));
		record_point(
		    "the reply to it, B per workspace", n, datagram_bytes(&r));
	}
}

/* A prompt of this many parts, at a target with a usual id. */
static void
measure_place_datagrams(u_int n_parts)
{
	peer_part parts[PEER_PARTS_MAX] = { 0 };
	peer_place_event events[2] = {
		{ .fact.kind = PEER_PLACE_REPORT },
		{ .fact.kind = PEER_PLACE_BEGUN },
	};
	peer_place_news none = { .service = (char *)"kapu2a",
		.domain = (char *)"sfx-a" };
	peer_body ask = { .kind = PEER_PLACE_ASK };
	peer_body reply = { .kind = PEER_PLACE_REPLY };
	peer_body news = { .kind = PEER_PLACE_NEWS };

	events[0].fact.peer_place_fact_u.report.target = (char *)"i-296974a3f9";
	ask.peer_body_u.place_ask = (peer_place_ask){
		.size = { .parts = { n_parts, parts } },
		.software = (char *)"",
		.input_domain = (char *)"sfx-a",
		.news = none,
	};
	reply.peer_body_u.place_reply.target = (char *)"i-296974a3f9";
	news.peer_body_u.place_news = none;
	news.peer_body_u.place_news.events.events_len = 2;
	news.peer_body_u.place_news.events.events_val = events;
	record_point(
	    "an ask to a placer, B per part", n_parts, datagram_bytes(&ask));
	if (n_parts > 1)
		return;
	record_point("its reply, B", 0, datagram_bytes(&reply));
	record_point(
	    "news of a begin with a load report, B", 0, datagram_bytes(&news));
}

void
measure_datagrams(void)
{
	peer_body claim = { .kind = PEER_CLAIM };
	peer_body verdict = { .kind = PEER_VERDICT };
	peer_claim *c = &claim.peer_body_u.claim;

	c->workspace = (char *)"workspace-17";
	c->pipeline = (char *)"pipeline-3";
	c->key = (char *)"0190f3a0-0000-7000-8000-000000000001";
	c->request_id = (char *)"0a1b2c3d4e5f6071-1234";
	record_point("a claim to its writer, B", 0, datagram_bytes(&claim));
	record_point("its verdict, B", 0, datagram_bytes(&verdict));
	record_point("the envelope of gossip, B", 0,
	    datagram_bytes(&verdict) -
		(double)xdr_sizeof(
		    (xdrproc_t)xdr_peer_verdict, &verdict.peer_body_u.verdict));
	measure_share_datagrams();
	measure_place_datagrams(1);
	measure_place_datagrams(8);
}
