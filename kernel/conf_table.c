/* The table of all keys that the configuration may set. */
#include "kernel/conf.h"

#define OFFSET(type, field) offsetof(struct type, field)
#define POLICY_KEYS(object, base)                                              \
	{ object, "balance", CONF_BALANCE,                                     \
		base + OFFSET(conf_policy, balance), 0, 0, "auto", "",         \
		"How a target is chosen: auto, two-choice, affinity or "       \
		"round-robin.",                                                \
		NULL },                                                        \
	    { object, "admission", CONF_BOOL,                                  \
		    base + OFFSET(conf_policy, admission), 0, 1, "yes", "",    \
		    "Refuse requests that cannot finish in time.", NULL },     \
	    { object, "fair", CONF_BOOL, base + OFFSET(conf_policy, fair), 0,  \
		    1, "yes", "",                                              \
		    "Share a busy service between workspaces by weight.",      \
		    NULL },                                                    \
	    { object, "split", CONF_WORD, base + OFFSET(conf_policy, split),   \
		    0, 0, "quantile", "",                                      \
		    "How the deadline is split over the stages.",              \
		    "quantile even none" },                                    \
	    { object, "retries", CONF_U32,                                     \
		    base + OFFSET(conf_policy, retries), 0, 3, "2", "calls",   \
		    "Retries after the first call.", NULL },                   \
	    { object, "retry_budget", CONF_U32,                                \
		    base + OFFSET(conf_policy, retry_budget), 0, 100, "10",    \
		    "percent",                                                 \
		    "Retries and hedges together, as a share of all calls.",   \
		    NULL },                                                    \
	    { object, "hedge", CONF_BOOL, base + OFFSET(conf_policy, hedge),   \
		    0, 1, "yes", "",                                           \
		    "Send a second call when the first is slow.", NULL },      \
	    { object, "hedge_quantile", CONF_U32,                              \
		    base + OFFSET(conf_policy, hedge_quantile), 50, 99, "95",  \
		    "percent",                                                 \
		    "A call is hedged after this quantile of its stage.",      \
		    NULL },                                                    \
	    { object, "set_aside", CONF_BOOL,                                  \
		    base + OFFSET(conf_policy, set_aside), 0, 1, "yes", "",    \
		    "Send no calls to targets that keep failing.", NULL },     \
	    { object, "set_aside_cap", CONF_U32,                               \
		    base + OFFSET(conf_policy, set_aside_cap), 0, 100, "40",   \
		    "percent",                                                 \
		    "At most this share of a service's targets is set aside.", \
		    NULL },                                                    \
	    { object, "resume", CONF_BOOL, base + OFFSET(conf_policy, resume), \
		    0, 1, "yes", "",                                           \
		    "Resume a broken stream on another target.", NULL },       \
	    { object, "stall", CONF_BOOL, base + OFFSET(conf_policy, stall),   \
		    0, 1, "yes", "",                                           \
		    "Cancel calls early that make no progress.", NULL },       \
	    { object, "prefer_domain", CONF_BOOL,                              \
		    base + OFFSET(conf_policy, prefer_domain), 0, 1, "yes",    \
		    "", "Prefer targets of the host's own failure domain.",    \
		    NULL },                                                    \
	{                                                                      \
		object, "imbalance", CONF_U32,                                 \
		    base + OFFSET(conf_policy, imbalance), 0, 1000, "4",       \
		    "calls",                                                   \
		    "How many more calls a preferred target may have than "    \
		    "the other.",                                              \
		    NULL                                                       \
	}

static const struct conf_key keys[] = {
	POLICY_KEYS(CONF_POLICY, 0),
	{ CONF_FLEET, "claim_retention_s", CONF_SEC,
	    OFFSET(conf_fleet, claim_retention), 10, 86400 * 31, "3600", "s",
	    "How long a claim is kept; older keys are refused.", NULL },
	{ CONF_FLEET, "claim_answer_bytes", CONF_U32,
	    OFFSET(conf_fleet, claim_answer_bytes), 0, MAX_CLAIM_ANSWER_BYTES,
	    "256", "bytes",
	    "Answers up to this size are kept with their claim.", NULL },
	{ CONF_FLEET, "sunset", CONF_DATE, OFFSET(conf_fleet, sunset), 0, 0, "",
	    "UTC", "The public shutdown date of the whole fleet.", NULL },
	{ CONF_FLEET, "host_list_ms", CONF_MSEC,
	    OFFSET(conf_fleet, host_list_interval), 100, 60000, "1000", "ms",
	    "Interval at which the host list is read.", NULL },
	{ CONF_FLEET, "probe_percent", CONF_U32,
	    OFFSET(conf_fleet, probe_percent), 0, 100, "2", "percent",
	    "Limit on the targets whose load the whole fleet probes each "
	    "second.",
	    NULL },

	{ CONF_SERVICE, "kind", CONF_KIND, OFFSET(conf_service, kind), 0, 0,
	    NULL, "", "The stage kind of its targets.", NULL },
	{ CONF_SERVICE, "listed", CONF_TEXT, OFFSET(conf_service, list_name), 0,
	    0, "", "", "Its name in the host list; its own name if empty.",
	    NULL },
	{ CONF_SERVICE, "targets", CONF_NAMES, OFFSET(conf_service, targets), 0,
	    0, "", "",
	    "Further targets, not in the host list: IP:PORT/FAILURE-DOMAIN.",
	    NULL },
	{ CONF_SERVICE, "model", CONF_TEXT, OFFSET(conf_service, model), 0, 0,
	    "", "", "The model named in generate calls.", NULL },
	{ CONF_SERVICE, "version", CONF_TEXT, OFFSET(conf_service, version), 0,
	    0, "", "", "The desired version of the model.", NULL },
	{ CONF_SERVICE, "adapters", CONF_NAMES, OFFSET(conf_service, adapters),
	    0, 0, "", "", "The desired adapters.", NULL },
	{ CONF_SERVICE, "role", CONF_TEXT, OFFSET(conf_service, role), 0, 0, "",
	    "", "The desired role of its targets.", NULL },
	{ CONF_SERVICE, "orders", CONF_BOOL, OFFSET(conf_service, orders), 0, 1,
	    "no", "", "Bring the targets to the desired state by orders.",
	    NULL },
	{ CONF_SERVICE, "fencing", CONF_WORD, OFFSET(conf_service, fencing), 0,
	    0, "ignored", "", "Whether its targets refuse old fencing numbers.",
	    "honoured ignored" },
	{ CONF_SERVICE, "loading_cap", CONF_U32,
	    OFFSET(conf_service, loading_cap), 1, 100, "20", "percent",
	    "At most this share of its targets loads at the same time.", NULL },
	{ CONF_SERVICE, "order_timeout_ms", CONF_MSEC,
	    OFFSET(conf_service, order_timeout), 100, 600000, "5000", "ms",
	    "How long an order may be in flight.", NULL },
	{ CONF_SERVICE, "concurrency", CONF_U32,
	    OFFSET(conf_service, concurrency), 0, 100000, "0", "calls",
	    "Calls that one target processes concurrently; 0: unknown.", NULL },
	{ CONF_SERVICE, "method", CONF_WORD, OFFSET(conf_service, method), 0, 0,
	    "POST", "", "The HTTP method of plain calls.", "POST PUT GET" },
	{ CONF_SERVICE, "path", CONF_TEXT, OFFSET(conf_service, path), 0, 0, "",
	    "", "The path of its calls; the kind's default if empty.", NULL },
	{ CONF_SERVICE, "lookup", CONF_TEXT, OFFSET(conf_service, lookup), 0, 0,
	    "", "",
	    "Path, with {key}, that returns the result of a key's call.",
	    NULL },
	{ CONF_SERVICE, "sunset", CONF_DATE, OFFSET(conf_service, sunset), 0, 0,
	    "", "UTC", "Its public shutdown date.", NULL },
	{ CONF_SERVICE, "enabled", CONF_BOOL, OFFSET(conf_service, enabled), 0,
	    1, "yes", "", "Set to no to disable it.", NULL },

	{ CONF_PIPELINE, "stages", CONF_NAMES,
	    OFFSET(conf_pipeline, stage_names), 0, 0, NULL, "",
	    "Its stages in order.", NULL },
	{ CONF_PIPELINE, "workspaces", CONF_NAMES,
	    OFFSET(conf_pipeline, workspaces), 0, 0, NULL, "",
	    "The workspaces that it serves; * for all.", NULL },
	{ CONF_PIPELINE, "answer", CONF_NAMES, OFFSET(conf_pipeline, answer), 0,
	    0, "", "",
	    "Keys of the document that are returned to the caller; all if "
	    "empty.",
	    NULL },
	{ CONF_PIPELINE, "deadline_ms", CONF_MSEC,
	    OFFSET(conf_pipeline, deadline), 10, 600000, "5000", "ms",
	    "Time limit for a complete request.", NULL },
	{ CONF_PIPELINE, "priority", CONF_U32, OFFSET(conf_pipeline, priority),
	    0, 9, "5", "", "Priority sent to engines; 0 is the most urgent.",
	    NULL },
	{ CONF_PIPELINE, "sunset", CONF_DATE, OFFSET(conf_pipeline, sunset), 0,
	    0, "", "UTC", "Its public shutdown date.", NULL },
	{ CONF_PIPELINE, "enabled", CONF_BOOL, OFFSET(conf_pipeline, enabled),
	    0, 1, "yes", "", "Set to no to disable it.", NULL },

	{ CONF_STAGE, "service", CONF_TEXT, OFFSET(conf_stage, service_name), 0,
	    0, NULL, "", "The service that its calls go to.", NULL },
	{ CONF_STAGE, "repeatable", CONF_BOOL, OFFSET(conf_stage, repeatable),
	    0, 1, "yes", "", "Whether a call may be sent again.", NULL },
	{ CONF_STAGE, "prompt", CONF_NAMES, OFFSET(conf_stage, prompt), 0, 0,
	    "text", "", "Keys of the document that form the prompt.", NULL },
	{ CONF_STAGE, "output", CONF_TEXT, OFFSET(conf_stage, output), 0, 0,
	    "text", "", "Key of the document that receives the generated text.",
	    NULL },
	{ CONF_STAGE, "max_tokens", CONF_U32, OFFSET(conf_stage, max_tokens), 1,
	    100000, "128", "tokens", "Limit on a generated text.", NULL },
	POLICY_KEYS(CONF_STAGE, OFFSET(conf_stage, policy)),

	{ CONF_WORKSPACE, "tokens_sha256", CONF_NAMES,
	    OFFSET(conf_workspace, tokens), 0, 0, NULL, "",
	    "SHA-256 of its bearer tokens, in hex.", NULL },
	{ CONF_WORKSPACE, "weight", CONF_U32, OFFSET(conf_workspace, weight), 1,
	    1000, "10", "", "Its weight when a service is busy.", NULL },
	{ CONF_WORKSPACE, "requests_per_second", CONF_U32,
	    OFFSET(conf_workspace, requests_per_second), 0, 10000000, "0",
	    "1/s", "Limit over the whole fleet; 0: none.", NULL },
	{ CONF_WORKSPACE, "requests_in_flight", CONF_U32,
	    OFFSET(conf_workspace, requests_in_flight), 0, 10000000, "0",
	    "requests", "Limit over the whole fleet; 0: none.", NULL },
	{ CONF_WORKSPACE, "tokens_per_second", CONF_U32,
	    OFFSET(conf_workspace, tokens_per_second), 0, 1000000000, "0",
	    "tokens/s", "Limit over the whole fleet; 0: none.", NULL },
	{ CONF_WORKSPACE, "salt", CONF_TEXT, OFFSET(conf_workspace, salt), 0, 0,
	    "", "",
	    "Workspaces with the same salt share prompt prefixes; its own "
	    "name if empty.",
	    NULL },
	{ CONF_WORKSPACE, "enabled", CONF_BOOL, OFFSET(conf_workspace, enabled),
	    0, 1, "yes", "", "Set to no to disable it.", NULL },
};

const struct conf_key *
conf_keys(size_t *n)
{
	*n = sizeof(keys) / sizeof(keys[0]);
	return keys;
}
