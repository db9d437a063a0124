#!/usr/bin/env bash
# Tests what the sequoiads of a fleet must agree on: which of them sends orders
# to targets, which targets are leaving, which process owns an id, and how
# workspace limits are shared.
# Usage: run.sh BUILD-FOLDER CASE
# Each case has its own loopback network; no case asserts elapsed time.
set -uo pipefail
B=$(cd "${1:?build folder}" && pwd) || exit 2
cd "$(dirname "$0")" || exit 2
CASES="roll halt sender_killed sender_paused leaving probes id_taken limits"
i=$(echo $CASES | tr ' ' '\n' | grep -nx "${2:?case: $CASES}" | cut -d: -f1)
# A network derived from the build folder on which nothing listens.
n=$(cksum <<<"$B" | cut -d' ' -f1)
for j in $(seq 0 49); do
	NET=127.$((20 + (n + j) % 200)).${i:?no such case}
	(: <>"/dev/tcp/$NET.100/2379") 2>/dev/null || break
done
. ../faults/fleet.sh
TOKEN='Authorization: Bearer w-token'

# Starts the stand-in with five engines that honour fencing numbers and five
# that ignore them.
start_platform() {
	local kind
	{
		printf '[kv]\nlisten = %s\n[hosts]\nlisten = %s\nlag_ms = 100\n' \
		    "$KV" "$HOSTS"
		printf '[admin]\nlisten = %s.100:2381\n' "$NET"
		printf '[target encoder]\nkind = encode\nservice = encoder\n'
		printf 'listen = %s.101:8000\ncount = 2\n' "$NET"
		for kind in honoured ignored; do
			printf '[target %s]\nkind = generate\nservice = %s\n' \
			    $kind $kind
			printf 'listen = %s.101:8%s00\ncount = 5\n' "$NET" \
			    ${#kind}
			printf 'token_ms = 1\nfencing = %s\nmodel = m\n' $kind
			printf 'load_model_ms = 400\nweight_slots = 10\n'
		done
	} >"$D/standin.ini"
	"$B/tests/standin/standin" "$D/standin.ini" >"$D/standin.log" 2>&1 &
	PID[standin]=$!
	until_true "stand-in" kv_count calls >/dev/null
}

# apply VERSION [PROBE-PERCENT]: applies a configuration in which both services
# have this version.
apply() {
	local kind
	mkdir -p "$D/conf"
	{
		printf '[fleet]\nprobe_percent = %s\n' "${2:-0}"
		printf '[service encoder]\nkind = encode\n'
		printf '[pipeline look]\nstages = encode\nworkspaces = w few\n'
		printf 'deadline_ms = 20000\nanswer = encode\n'
		printf '[stage look.encode]\nservice = encoder\n'
		for kind in honoured ignored; do
			printf '[service %s]\nkind = generate\nmodel = m\n' $kind
			printf 'version = %s\norders = yes\n' "$1"
			printf 'fencing = %s\nloading_cap = 20\n' $kind
			printf 'order_timeout_ms = 1000\n'
			printf '[pipeline %s]\nstages = tell\n' $kind
			printf 'workspaces = w\ndeadline_ms = 20000\n'
			printf 'answer = text\n[stage %s.tell]\n' $kind
			printf 'service = %s\nmax_tokens = 4\n' $kind
		done
	} >"$D/conf/10.ini"
	printf '[workspace %s]\ntokens_sha256 = %s\nrequests_per_second = %s\n' \
	    w "$(printf w-token | sha256sum | cut -d' ' -f1)" 0 \
	    few "$(printf few-token | sha256sum | cut -d' ' -f1)" $LIMIT \
	    >"$D/conf/20.ini"
	ctl apply "$D/conf" >"$D/apply.log" 2>&1 || fail "apply"
}
LIMIT=30

start() {
	start_platform
	apply 1 "${1:-0}"
	fleet 1 2 3
}

# addresses SERVICE: prints the addresses of its targets.
addresses() {
	curl -sf "$ADMIN/targets" |
	    jq -r ".[] | select(.service == \"$1\") | .address"
}
# versions SERVICE: prints the version of each of its targets that is ready.
versions() {
	local a
	for a in $(addresses "$1"); do
		curl -sf -m 5 "http://$a/v1/orders" |
		    jq -r 'select(.ready) | .models[0].version'
	done
}
all_have() { [ "$(versions "$1" | grep -cx "$2")" = 5 ]; }
both_have() { all_have honoured "$1" && all_have ignored "$1"; }
# sender SERVICE: prints the node that last took the lease to send its orders,
# or nothing.
sender() {
	grep -h "orders-lease-held.*service=\"$1\"" "$D"/e?.log | sort |
	    tail -n 1 | sed -n 's/.* host=e\([0-9]\) .*/\1/p'
}
orders() { curl -sf "$ADMIN/orders" | jq -r "$1"; }

# send_requests NODE...: sends requests for both services to the nodes until the
# file stop exists; the status codes go into the file codes.
send_requests() {
	local n kind code
	while [ ! -e "$D/stop" ]; do
		for n in "$@"; do
			for kind in honoured ignored; do
				code=$(curl -s -o /dev/null -w '%{http_code}' \
				    -H "$TOKEN" -d '{"text":"a"}' \
				    "http://$NET.$n:8080/v1/pipelines/$kind")
				echo "$code" >>"$D/codes"
			done
		done
	done
}
# Ends send_requests; fails unless all of its requests got 200.
check_requests() {
	touch "$D/stop"
	wait "${PID[requests]}"
	unset "PID[requests]"
	[ -s "$D/codes" ] || fail "no request was sent"
	! grep -vxq 200 "$D/codes" ||
	    fail "not answered: $(sort "$D/codes" | uniq -c | tr '\n' ' ')"
}

# No target may accept an order with a lower fencing number after an order with
# a higher one: an old sender would undo the orders of the new sender.
check_fences() {
	[ "$(orders '[.orders[] | select(.accepted)] | group_by(.address) |
	    map([.[].fence] | . == sort) | all')" = true ] ||
	    fail "an old order was accepted: $(orders '.orders | tojson')"
}

# A new version is rolled out to both services: each loads at most one of its
# five targets at a time, and all requests are answered during the rollout.
case_roll() {
	start
	until_true "version 1" both_have 1
	send_requests 1 2 3 &
	PID[requests]=$!
	apply 2
	until_true "version 2" both_have 2
	check_requests
	[ "$(orders .most_loading)" -le 2 ] ||
	    fail "$(orders .most_loading) loaded at once"
	check_fences
}

# A new version fails to load: the rollout of that service stops after the first
# target, that of the other service continues, and a third version is rolled out
# to both.
case_halt() {
	start
	until_true "version 1" both_have 1
	target "service=honoured&fail_version=2"
	send_requests 1 2 3 &
	PID[requests]=$!
	apply 2
	until_true "halt" grep -q 'orders-halted.*service="honoured"' "$D"/e?.log
	until_true "the other service" all_have ignored 2
	check_requests
	[ "$(versions honoured | grep -cx 1)" = 4 ] ||
	    fail "the rollout continued after the failure"
	target "service=honoured&fail_version=0"
	apply 3
	until_true "version 3" both_have 3
}

# lease_moved SERVICE: succeeds if a node other than $OLD has taken the lease.
lease_moved() { [ "$(sender "$1")" != "$OLD" ]; }

# The sender dies in the middle of a rollout: another node takes the lease and
# completes the rollout with a higher fencing number.
case_sender_killed() {
	local max_fence
	start
	until_true "version 1" both_have 1
	OLD=$(sender honoured)
	max_fence=$(orders '[.orders[].fence] | max')
	apply 2
	until_true "first order" started 2
	crash_node "$OLD"
	until_true "another sender" lease_moved honoured
	until_true "version 2" both_have 2
	check_fences
	[ "$(orders "[.orders[] | select(.accepted and .fence > $max_fence)] |
	    length")" -gt 0 ] || fail "no higher fencing number"
}
# started VERSION: succeeds if a target of the service honoured loads or has
# this version.
started() {
	local a
	for a in $(addresses honoured); do
		curl -sf -m 5 "http://$a/v1/orders" |
		    jq -e ".loading or .models[0].version == \"$1\"" >/dev/null &&
		    return 0
	done
	return 1
}

# The sender is paused past the end of its lease in the middle of a rollout,
# once for each service.  When it resumes, it must not undo the orders of its
# successor.
case_sender_paused() {
	local kind
	start
	until_true "version 1" both_have 1
	for kind in honoured ignored; do
		OLD=$(sender $kind)
		apply "2$kind"
		until_true "first order" some_has $kind "2$kind"
		kill -STOP "${PID[$OLD]}"
		until_true "another sender" lease_moved $kind
		apply "3$kind"
		until_true "new version" all_have $kind "3$kind"
		kill -CONT "${PID[$OLD]}"
		until_true "generation at $OLD after the pause" \
		    generation_is "$OLD" "$(generation $((OLD % 3 + 1)))"
		until_true "version after the pause" both_have "3$kind"
		check_fences
	done
}
some_has() { [ "$(versions "$1" | grep -cx "$2")" -gt 0 ]; }

# state N ADDRESS: prints the state of a target at node N.
state() {
	status "$1" | jq -r ".targets[] | select(.address == \"$2\") | .state"
}
state_is() { [ "$(state "$1" "$2")" = "$3" ]; }
# send_look N: sends a request of the pipeline look to node N and prints the
# status code.
send_look() {
	curl -s -o /dev/null -w '%{http_code}\n' -H "$TOKEN" \
	    -d '{"text":"a"}' "http://$NET.$1:8080/v1/pipelines/look"
}
node_1_sees_leaving() {
	[ "$(send_look 1)" = 200 ] && state_is 1 "$LEAVING" leaving
}

# A target refuses calls as leaving while the host list still shows it as live.
# Only node 1 gets the refusal; the others must learn from node 1 that the
# target is leaving, and must not send it calls.
case_leaving() {
	local i
	LEAVING=$NET.101:8000
	start
	target "address=$LEAVING&fault=leaving"
	until_true "the target is leaving at node 1" node_1_sees_leaving
	for i in 2 3; do
		until_true "the target is leaving at node $i" \
		    state_is $i "$LEAVING" leaving
	done
	curl -sf -o /dev/null -X POST "$ADMIN/reset"
	for i in $(seq 20); do
		[ "$(send_look 2)$(send_look 3)" = 200200 ] ||
		    fail "not answered"
	done
	[ "$(curl -sf "$ADMIN/targets" |
	    jq ".[] | select(.address == \"$LEAVING\") | .calls")" = 0 ] ||
	    fail "a leaving target got calls"
	[ "$(curl -sf "http://$HOSTS/hosts" |
	    jq -r ".hosts[] | select(.address == \"$LEAVING\") | .state")" = \
	    live ] || fail "the host list has changed"
	# The target accepts calls again: it becomes live at all nodes.
	target "address=$LEAVING&fault=none"
	for i in 1 2 3; do
		until_true "the target is live at node $i" \
		    state_is $i "$LEAVING" live
	done
}

# A target refuses calls as leaving while no requests are sent: all nodes learn
# from load probes that it is leaving.
case_probes() {
	local i
	LEAVING=$NET.101:8001
	start 100
	for i in 1 2 3; do
		until_true "node $i probes" metric_is_positive $i sequoia_probes_total
	done
	target "address=$LEAVING&fault=leaving"
	for i in 1 2 3; do
		until_true "the target is leaving at node $i" \
		    state_is $i "$LEAVING" leaving
		[ "$(metric $i sequoia_failed_probes_total)" = 0 ] ||
		    fail "a probe failed"
	done
}
metric_is_positive() { [ "$(metric "$1" "$2")" -gt 0 ]; }

# Another process starts with node 1's id at another address: the older process
# must become not ready, log this once and continue to answer requests.
case_id_taken() {
	start
	sed "s/$NET.1:808\([012]\)/$NET.4:808\1/" "$D/e1.ini" >"$D/e4.ini"
	sed -i "s/^peers =.*/peers = $NET.2:8082/" "$D/e4.ini"
	"$B/entry/sequoiad" "$D/e4.ini" >>"$D/e4.log" 2>&1 &
	PID[4]=$!
	until_true "the newer process is ready" ready 4
	until_true "the older process noticed" id_taken
	! ready 1 || fail "the older process is still ready"
	[ "$(send_look 1)" = 200 ] ||
	    fail "the older process no longer answers"
	[ "$(grep -c id-taken "$D/e1.log")" = 1 ] || fail "logged repeatedly"
	ready 4 && ready 2 && ready 3 || fail "the other nodes are not ready"
}
id_taken() { grep -q id-taken "$D/e1.log"; }

# flood NODE...: sends LIMIT requests at once to each node and prints how many
# were admitted.
flood() {
	local n
	for n in "$@"; do
		curl -s -Z --no-progress-meter -o /dev/null -w '%{http_code}\n' \
		    -H 'Authorization: Bearer few-token' -d '{"text":"a"}' \
		    "http://$NET.$n:8080/v1/pipelines/look?n=[1-$LIMIT]" &
	done >"$D/flood"
	wait $(jobs -rp | grep -vxF "$(printf '%s\n' "${PID[@]}")")
	grep -cx 200 "$D/flood"
}

# For ten seconds each of three nodes receives the whole limit of a workspace:
# the fleet must admit no more than the limit.  Then all requests arrive at
# node 1, which must get most of the limit.
case_limits() {
	local n=0 from to
	start
	from=$(date +%s)
	for _ in $(seq 10); do
		n=$((n + $(flood 1 2 3)))
		sleep 1
	done
	to=$(date +%s)
	# Allows one limit accumulated before the first request, and half a
	# limit for nodes that are not yet known.
	[ $n -le $((LIMIT * (to - from + 1) + LIMIT + LIMIT / 2)) ] ||
	    fail "$n admitted in $((to - from)) s at $LIMIT a second"
	[ $n -ge $((LIMIT * 5)) ] || fail "only $n admitted"
	until_true "node 1 has most of the limit" has_most_of_limit
}
# Succeeds if node 1 gets more than half of the limit; an even share would be a
# third.
has_most_of_limit() {
	sleep 1
	[ "$(flood 1)" -gt $((LIMIT / 2)) ]
}

"case_$2"
