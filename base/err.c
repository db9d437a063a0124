#include "base/err.h"

#include <stdio.h>

struct err_info {
	const char *name;
	int status;
	const char *remedy;
};

#define INFO(k) [-(k)]

static const struct err_info infos[] = {
	INFO(ERR_OK) = { "ok", 200, "Nothing to do." },
	INFO(ERR_BAD_JSON) = { "bad-json", 400,
	    "Send a JSON object as the body." },
	INFO(ERR_TOO_LARGE) = { "too-large", 413,
	    "Send a smaller body; the detail names the bound." },
	INFO(ERR_NO_PIPELINE) = { "no-pipeline", 404,
	    "Use a pipeline that the configuration grants to the workspace." },
	INFO(ERR_BAD_TOKEN) = { "bad-token", 401,
	    "Send the workspace's token as Authorization: Bearer." },
	INFO(ERR_KEY_MISSING) = { "key-missing", 400,
	    "Send an Idempotency-Key that is a UUID version 7." },
	INFO(ERR_KEY_BAD) = { "key-bad", 400,
	    "Send an Idempotency-Key that is a UUID version 7 made now." },
	INFO(ERR_KEY_REUSED) = { "key-reused", 422,
	    "Use a new Idempotency-Key for another body." },
	INFO(ERR_KEY_OLD) = { "key-old", 409,
	    "Look the result up in the service itself; the key is older "
	    "than the retention." },
	INFO(ERR_BAD_HEADER) = { "bad-header", 400,
	    "Correct the header that the detail names." },
	INFO(ERR_SLOW_BODY) = { "slow-body", 408,
	    "Send the body without pauses." },
	INFO(ERR_NOT_FOUND) = { "not-found", 404,
	    "Ask for a request of this workspace that is still kept." },
	INFO(ERR_NO_TIME) = { "no-time", 503,
	    "Come back after Retry-After, or allow more time." },
	INFO(ERR_OVER_LIMIT) = { "over-limit", 429,
	    "Come back after Retry-After, or ask the operator for a higher "
	    "limit." },
	INFO(ERR_NO_TARGET) = { "no-target", 503,
	    "Come back after Retry-After; the operator should look at the "
	    "service's targets." },
	INFO(ERR_TARGET_FAILED) = { "target-failed", 502,
	    "Send the request again only if it may run twice; the operator "
	    "should look at the service's targets." },
	INFO(ERR_DEADLINE) = { "deadline", 504,
	    "Allow more time, or send the request again if it may run "
	    "twice." },
	INFO(ERR_CLAIM_TAKEN) = { "claim-taken", 409,
	    "Wait for the earlier delivery of this key and ask for its "
	    "result." },
	INFO(ERR_CLAIM_STORE) = { "claim-store", 503,
	    "Come back after Retry-After with the same key; the key-value "
	    "service is not answering." },
	INFO(ERR_ANSWER_LOST) = { "answer-lost", 502,
	    "Look the result up in the service itself; the call is never "
	    "sent again." },
	INFO(ERR_DRAINING) = { "draining", 503,
	    "Send the request again; another host takes it." },
	INFO(ERR_SUNSET) = { "sunset", 410,
	    "Stop sending: the pipeline has reached its shutdown date." },
	INFO(ERR_CANCELLED) = { "cancelled", 499,
	    "Nothing to do: the caller went away." },
	INFO(ERR_CONFIG) = { "config", 422,
	    "Correct the file and key that the detail names." },
	INFO(ERR_SETTING) = { "setting", 500,
	    "Correct the setting that the detail names." },
	INFO(ERR_KV) = { "kv", 503,
	    "Check the key-value service; the request can be repeated." },
	INFO(ERR_CONFLICT) = { "conflict", 409,
	    "Read the present state, merge, and apply again." },
	INFO(ERR_PEER) = { "peer", 502,
	    "Ask again; the host that holds the request does not answer." },
	INFO(ERR_NOT_READY) = { "not-ready", 503,
	    "Come back after Retry-After; no configuration is in force." },
	INFO(ERR_METHOD) = { "method", 405,
	    "Use the method that the Allow header names." },
	INFO(ERR_IO) = { "io", 500, "Check the file or connection named." },
	INFO(ERR_QUARANTINED) = { "quarantined", 503,
	    "Don't send it again unchanged: targets crash on it, or on a part "
	    "of its prompt; the quarantine ends after Retry-After." },
	INFO(ERR_MEMORY) = { "memory-short", 503,
	    "Come back after Retry-After; the host holds as many bytes as it "
	    "may." },
};

static const struct err_info *
find_info(enum err_kind kind)
{
	if (kind > 0 || kind <= ERR_LAST)
		kind = ERR_IO;
	return &infos[-kind];
}

int
err_set(struct err *e, enum err_kind kind, const char *fmt, ...)
{
	va_list ap;

	if (e == NULL)
		return kind;
	e->kind = kind;
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	return kind;
}

const char *
err_name(enum err_kind kind)
{
	return find_info(kind)->name;
}

const char *
err_remedy(enum err_kind kind)
{
	return find_info(kind)->remedy;
}

int
err_status(enum err_kind kind)
{
	return find_info(kind)->status;
}

const char *
outcome_name(enum outcome o)
{
	static const char *const names[] = {
		[OUTCOME_COMPLETE] = "complete",
		[OUTCOME_NOT_RUN] = "not-run",
		[OUTCOME_FAILED] = "failed",
		[OUTCOME_UNKNOWN] = "unknown",
	};

	return names[o];
}
