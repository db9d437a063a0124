/*
 * Messages between sequoiads (ONC RPC).  peer.h and peer_xdr.c are generated
 * from this file by rpcgen -C -M ("make peer") and committed.
 *
 * DELIVER goes over UDP and has no reply; a sender repeats what it still
 * needs.  FETCH goes over TCP.  Both carry a sealed body: the XDR form of a
 * peer_letter, or of a peer_query and its peer_result, under an HMAC-SHA-256
 * with the fleet key.
 */
const PEER_NAME_MAX = 48;
const PEER_VALUE_MAX = 9437184;
const PEER_MEMBERS_MAX = 32;
const PEER_LEAVING_MAX = 4;
const PEER_BATCH_MAX = 16;

typedef string peer_name<PEER_NAME_MAX>;

struct peer_member {
	peer_name id;
	peer_name rpc;
	peer_name operators;
	peer_name domain;
	unsigned hyper incarnation;
	unsigned hyper generation;
	int state;
};

struct peer_leaving {
	peer_name service;
	peer_name addr;
	unsigned int left_ms;
};

struct peer_gossip {
	peer_member self;
	unsigned hyper generation;
	peer_name holder;
	unsigned int up;
	opaque digests[32];
	bool answer;
	peer_name check;
	peer_name reached;
	peer_member infos<PEER_MEMBERS_MAX>;
	peer_leaving leaving<PEER_LEAVING_MAX>;
};

struct peer_claim {
	unsigned hyper ask;
	int step;
	string workspace<PEER_NAME_MAX>;
	string pipeline<PEER_NAME_MAX>;
	string key<PEER_NAME_MAX>;
	unsigned int attempt;
	unsigned hyper body_hash;
	unsigned hyper holder;
	string request_id<PEER_NAME_MAX>;
	int outcome;
	opaque answer<1024>;
	unsigned int patience_ms;
};

/* A verdict's result beside those of enum claim_result: it is under way. */
const PEER_PENDING = -1;

struct peer_verdict {
	unsigned hyper ask;
	int result;
	int outcome;
	opaque answer<1024>;
};

struct peer_share_claim {
	peer_name workspace;
	unsigned int need;
	unsigned int holding;
};

struct peer_share_report {
	unsigned hyper number;
	peer_share_claim claims<PEER_BATCH_MAX>;
};

struct peer_grant {
	peer_name workspace;
	unsigned int ppm;
};

struct peer_share_reply {
	unsigned hyper number;
	unsigned int ttl_ms;
	unsigned int next_ms;
	peer_grant grants<PEER_BATCH_MAX>;
};

enum peer_kind {
	PEER_GOSSIP = 1,
	PEER_CLAIM = 2,
	PEER_VERDICT = 3,
	PEER_SHARE_REPORT = 4,
	PEER_SHARE_REPLY = 5
};

union peer_body switch (peer_kind kind) {
case PEER_GOSSIP:
	peer_gossip gossip;
case PEER_CLAIM:
	peer_claim claim;
case PEER_VERDICT:
	peer_verdict verdict;
case PEER_SHARE_REPORT:
	peer_share_report report;
case PEER_SHARE_REPLY:
	peer_share_reply reply;
};

struct peer_letter {
	peer_name from;
	unsigned hyper incarnation;
	peer_name rpc;          /* the sender's address, IP:PORT */
	hyper sent_ms;          /* wall clock; old letters are dropped */
	peer_body body;
};

enum peer_query_kind {
	PEER_GET_REQUEST = 1, /* name: request id */
	PEER_GET_TRACE = 2,
	PEER_GET_VALUE = 3    /* name: a document of the configuration log */
};

struct peer_query {
	peer_query_kind kind;
	peer_name from;
	hyper sent_ms;
	string name<256>;
	string workspace<PEER_NAME_MAX>;
	unsigned hyper nonce;
};

struct peer_result {
	bool found;
	bool ended;
	int outcome;
	int error;
	string detail<256>;
	hyper retry_after;
	unsigned hyper revision;
	opaque value<PEER_VALUE_MAX>;
	unsigned hyper nonce; /* of the query */
};

struct peer_sealed {
	opaque body<>;
	opaque mac[64];
};

program PEER_PROGRAM {
	version PEER_VERSION {
		void PEER_DELIVER(peer_sealed) = 1;
		peer_sealed PEER_FETCH(peer_sealed) = 2;
	} = 1;
} = 0x20005e90;
