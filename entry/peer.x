/*
 * Messages between sequoiads (ONC RPC).  peer.h and peer_xdr.c are generated
 * from this file by rpcgen -C -M ("make peer") and committed.
 *
 * PEER_DELIVER is sent over UDP and has no reply; a sender repeats a datagram
 * that must arrive.  PEER_FETCH is called over TCP.  Both carry a peer_sealed:
 * the XDR form of a peer_letter, or of a peer_query and its peer_result,
 * authenticated by an HMAC-SHA-256 under the fleet key.
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
	unsigned int capacity;  /* thousandths of a core; 0: unknown */
	int state;
};

struct peer_leaving {
	peer_name service;
	peer_name addr;
	unsigned int left_ms;
};

/* See struct gossip_message in kernel/gossip.h. */
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

/* A claim operation, forwarded to the writer of its shard. */
struct peer_claim {
	unsigned hyper ask;     /* the sender's number of the operation */
	int step;
	string workspace<PEER_NAME_MAX>;
	string pipeline<PEER_NAME_MAX>;
	string key<PEER_NAME_MAX>;
	unsigned int attempt;
	unsigned hyper body_hash;
	unsigned hyper holder;  /* incarnation of the sequoiad that claims */
	string request_id<PEER_NAME_MAX>;
	int outcome;
	opaque answer<1024>;
	unsigned int patience_ms; /* deadline budget */
};

/* Result of a verdict besides those of enum claim_result: not decided yet. */
const PEER_PENDING = -1;

struct peer_verdict {
	unsigned hyper ask;     /* copied from the claim */
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

const PEER_HANDLE_MAX = 96;
const PEER_PIECES_MAX = 64;
const PEER_ID_MAX = 128;
const PEER_HANDLES_MAX = 16384;

/* A stage job: pieces of one stage of a request, sent to its coordinator. */
struct peer_piece_ask {
	unsigned hyper ask;
	peer_name service;
	string id<PEER_ID_MAX>; /* id of the caller's attempt */
	unsigned int stage;
	unsigned int pieces<PEER_PIECES_MAX>; /* piece numbers */
	string key<PEER_ID_MAX>; /* set for stages without input stages */
	string inputs<PEER_HANDLES_MAX>; /* else: handles, separated by commas */
	unsigned int left_ms;   /* until the caller's deadline */
	int aim_left_ms;        /* until the soft deadline */
	unsigned int rank;
	unsigned hyper bytes;   /* estimated size of one result */
	peer_name domain;       /* preferred failure domain, or empty */
	bool cancelled;         /* the results are no longer needed */
};

struct peer_piece_made {
	unsigned int piece;
	int outcome;
	string handle<PEER_HANDLE_MAX>;
};

/* The state of a stage job; without pieces it only acknowledges the job. */
struct peer_piece_reply {
	unsigned hyper ask;
	bool refused;           /* nothing is produced: retry after wait_ms */
	bool moved;             /* nothing is produced: use the next coordinator;
				   of a refused job: the host is stopping */
	unsigned int wait_ms;
	peer_piece_made made<PEER_PIECES_MAX>;
};

/*
 * Results that may be freed, or whose space may be used if it is needed as the
 * calls that use them have fetched them; sent to the stage's coordinator.
 */
struct peer_piece_free {
	peer_name service;
	string handles<PEER_HANDLES_MAX>; /* separated by commas */
};

const PEER_FEED_ITEMS = 64;
const PEER_KEY_MAX = 256;

/* A changed item of the platform's store. */
struct peer_feed_item {
	string key<PEER_KEY_MAX>;
	bool deleted;
	bool large;             /* the value is omitted: fetch it */
	opaque value<32768>;
};

/* The changes of the store after revision from, up to revision to. */
struct peer_feed {
	hyper from;
	hyper to;
	peer_feed_item items<PEER_FEED_ITEMS>;
};

const PEER_TARGET_MAX = 64;
const PEER_PARTS_MAX = 32;
const PEER_CRASH_CALLS_MAX = 64;
const PEER_KNOWN_MAX = 256;

/* Parts of a request (kernel/part_set.h). */
struct peer_prompt {
	unsigned hyper parts<PEER_PARTS_MAX>;
};

/*
 * A target has crashed with calls that had no answer yet; sent to the hosts
 * that collect such reports.
 */
struct peer_crash {
	string target<PEER_TARGET_MAX>;
	peer_prompt calls<PEER_CRASH_CALLS_MAX>;
	/* Those of the parts that targets answered before. */
	unsigned hyper known<PEER_KNOWN_MAX>;
};

/* An item of the quarantined parts (kernel/quarantine.h). */
struct peer_quarantine {
	peer_name id;
	string value<1024>;
};

/* The limit that a target named for itself (kernel/overload/target_limit.h). */
struct peer_limit {
	string target<PEER_TARGET_MAX>;
	unsigned hyper micro_rate; /* millionths of a request a second; 0: none */
	unsigned int age_ms;       /* since the target named it */
};

/*
 * A target has said that it falls over if it has to turn more requests away in a
 * second (kernel/overload/target_brittle.h).
 */
struct peer_brittle {
	string target<PEER_TARGET_MAX>;
	unsigned int refusals;  /* 0: it doesn't say so any more */
	unsigned int age_ms;    /* since the target said so */
};

/* Asks which of these parts targets of a service answered before. */
struct peer_suspects {
	string service<64>;
	peer_prompt parts;
};

struct peer_known {
	string service<64>;
	peer_prompt parts;      /* those that targets answered before */
	/* The sender's calls to the service since it started. */
	unsigned hyper answered;
	unsigned hyper lost;
};

/* A stream has begun at a target of this version. */
struct peer_stream {
	string id<PEER_ID_MAX>; /* of the caller's attempt */
	string service<64>;
	string software<64>;    /* version of the target */
};

/* Asks for the version of a stream. */
struct peer_stream_ask {
	unsigned hyper ask;     /* the sender's number of the question */
	string id<PEER_ID_MAX>;
	string service<64>;
};

struct peer_stream_reply {
	unsigned hyper ask;
	string software<64>;    /* empty: not known */
	bool mixed;             /* the service has had several versions lately */
};

/*
 * A stream has begun, to be recorded in the store (kernel/stream_records.h);
 * sent to the recorder.
 */
struct peer_stream_record {
	unsigned hyper ask;
	string id<PEER_ID_MAX>; /* of the caller's attempt */
	string service<64>;
	string software<64>;    /* version of the target */
};

const PEER_RECORDED_MAX = 256;

/* The streams of these asks are recorded. */
struct peer_stream_recorded {
	unsigned hyper asks<PEER_RECORDED_MAX>;
	bool refused;           /* they are not: the store doesn't answer */
};

/* Asks a host, mostly the sender itself, what the store says of a stream. */
struct peer_stream_look {
	unsigned hyper ask;
	string id<PEER_ID_MAX>;
	string service<64>;
};

struct peer_stream_found {
	unsigned hyper ask;
	bool readable;          /* the store has answered */
	bool found;
	bool incomplete;        /* records are missing */
	string software<64>;
};

typedef string peer_target<PEER_TARGET_MAX>;

const PEER_TRIED_MAX = 8;
const PEER_PLACE_EVENTS_MAX = 64;
const PEER_PLACE_CALLS_MAX = 1024;

/* A part of a prompt. */
struct peer_part {
	unsigned hyper hash;
	unsigned int tokens;
};

/* What an engine reads and writes for a request. */
struct peer_prompt_size {
	peer_part parts<PEER_PARTS_MAX>;
	unsigned int prompt_tokens;
	unsigned int output_tokens;
	unsigned int rank;
};

/* What a host knows of the engines; calls are those of its own. */
enum peer_place_kind {
	PEER_PLACE_SENT = 1,      /* a call whose target the host has chosen */
	PEER_PLACE_BEGUN = 2,     /* its first event has come */
	PEER_PLACE_COMPLETED = 3, /* it has ended, and its prompt was read */
	PEER_PLACE_LOST = 4,      /* its target has refused it or failed */
	PEER_PLACE_CANCELLED = 5, /* its host or caller has dropped it */
	PEER_PLACE_REPORT = 6     /* an answer has named the target's load */
};

struct peer_place_sent {
	unsigned hyper call;
	peer_target target;
	peer_prompt_size size;
	unsigned int left_ms;   /* until the caller's deadline */
	unsigned int max_gap_ms; /* longest pause between events on time */
};

struct peer_place_report {
	peer_target target;
	unsigned int running;
	unsigned int waiting;
	unsigned int slowness;
};

union peer_place_fact switch (peer_place_kind kind) {
case PEER_PLACE_SENT:
	peer_place_sent sent;
case PEER_PLACE_BEGUN:
case PEER_PLACE_COMPLETED:
case PEER_PLACE_LOST:
case PEER_PLACE_CANCELLED:
	unsigned hyper call;
case PEER_PLACE_REPORT:
	peer_place_report report;
};

struct peer_place_event {
	unsigned int age_ms;
	peer_place_fact fact;
};

/* A call that runs. */
struct peer_place_call {
	unsigned hyper call;
	bool begun;
};

/* News for the placer of a service in a failure domain. */
struct peer_place_news {
	peer_target service;
	peer_name domain;       /* empty: all */
	peer_place_event events<PEER_PLACE_EVENTS_MAX>;
	/* With listed, all calls of the sender that run there. */
	bool listed;
	peer_place_call calls<PEER_PLACE_CALLS_MAX>;
	/* Calls that wait for a decision, and how they stand. */
	unsigned hyper waiting<PEER_PLACE_CALLS_MAX>;
};

/* Asks the placer where a request is sent. */
struct peer_place_ask {
	unsigned hyper call;    /* the sender's number of the call */
	peer_prompt_size size;
	int aim_left_ms;        /* until the first event is late */
	unsigned int left_ms;   /* until the caller's deadline */
	unsigned int latest_ms; /* until the sender waits no longer */
	unsigned int max_gap_ms; /* longest pause between events on time */
	string software<PEER_TARGET_MAX>; /* of the target; empty: any */
	peer_name input_domain; /* empty: it has no inputs */
	unsigned hyper input_bytes;
	peer_target tried<PEER_TRIED_MAX>;
	peer_place_news news;   /* names the service and its domain */
};

/*
 * One per ask, when it arrives and when it is decided.  That of call 0 only
 * shows that the placer is there.
 */
struct peer_place_reply {
	unsigned hyper call;
	peer_target service;
	peer_name domain;
	bool queued;            /* not decided yet */
	bool tell_all;          /* the sender lacks calls of the receiver */
	int verdict;            /* enum placement_verdict */
	peer_target target;
	unsigned int wait_ms;   /* the shortest of a new request */
	unsigned int first_event_ms; /* until it; of a full placer: until room */
	unsigned int to_read;
	unsigned int reading;
	unsigned int running;
	unsigned int age_ms;    /* since the decision */
	int known_ms;           /* since the last news of the target; -1: none */
};

enum peer_kind {
	PEER_GOSSIP = 1,
	PEER_CLAIM = 2,
	PEER_VERDICT = 3,
	PEER_SHARE_REPORT = 4,
	PEER_SHARE_REPLY = 5,
	PEER_PIECE_ASK = 6,
	PEER_PIECE_REPLY = 7,
	PEER_PIECE_FREE = 8,
	PEER_FEED = 9,
	PEER_CRASH = 10,
	PEER_ANSWERED = 11,
	PEER_QUARANTINE = 12,
	PEER_LIMIT = 13,
	PEER_SUSPECTS = 14,
	PEER_KNOWN = 15,
	PEER_STREAM = 16,
	PEER_STREAM_ASK = 17,
	PEER_STREAM_REPLY = 18,
	PEER_STREAM_RECORD = 19,
	PEER_STREAM_RECORDED = 20,
	PEER_STREAM_LOOK = 21,
	PEER_STREAM_FOUND = 22,
	PEER_BRITTLE = 23,
	/*
	 * The sender reads the store for streams that the receiver looks up,
	 * and items arrive.
	 */
	PEER_STREAM_READING = 24,
	PEER_PLACE_ASK = 25,
	PEER_PLACE_REPLY = 26,
	PEER_PLACE_NEWS = 27,
	PEER_PIECE_FETCHED = 28
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
case PEER_PIECE_ASK:
	peer_piece_ask piece_ask;
case PEER_PIECE_REPLY:
	peer_piece_reply piece_reply;
case PEER_PIECE_FREE:
	peer_piece_free piece_free;
case PEER_FEED:
	peer_feed feed;
case PEER_CRASH:
	peer_crash crash;
case PEER_ANSWERED:
	peer_prompt answered;   /* a target has answered on these parts */
case PEER_QUARANTINE:
	peer_quarantine quarantine;
case PEER_LIMIT:
	peer_limit limit;
case PEER_SUSPECTS:
	peer_suspects suspects;
case PEER_KNOWN:
	peer_known known;       /* the reply */
case PEER_STREAM:
	peer_stream stream;
case PEER_STREAM_ASK:
	peer_stream_ask stream_ask;
case PEER_STREAM_REPLY:
	peer_stream_reply stream_reply;
case PEER_STREAM_RECORD:
	peer_stream_record stream_record;
case PEER_STREAM_RECORDED:
	peer_stream_recorded stream_recorded;
case PEER_STREAM_LOOK:
	peer_stream_look stream_look;
case PEER_STREAM_FOUND:
	peer_stream_found stream_found;
case PEER_BRITTLE:
	peer_brittle brittle;
case PEER_STREAM_READING:
	void;
case PEER_PLACE_ASK:
	peer_place_ask place_ask;
case PEER_PLACE_REPLY:
	peer_place_reply place_reply;
case PEER_PLACE_NEWS:
	peer_place_news place_news;
case PEER_PIECE_FETCHED:
	peer_piece_free piece_fetched;
};

struct peer_letter {
	peer_name from;
	unsigned hyper incarnation;
	peer_name rpc;          /* the sender's address, IP:PORT */
	hyper sent_ms;          /* wall clock; old datagrams are rejected */
	peer_body body;
};

enum peer_query_kind {
	PEER_GET_REQUEST = 1, /* name: request id */
	PEER_GET_TRACE = 2,
	PEER_GET_VALUE = 3    /* name: document name */
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
	unsigned hyper nonce; /* copied from the query */
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
