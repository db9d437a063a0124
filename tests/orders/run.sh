#!/usr/bin/env bash
# What the sequoiads of a fleet settle among themselves: who sends orders,
# which targets leave, whose id is whose, and shares of limits.
# Usage: run.sh BUILD-FOLDER CASE
# Each case has an own loopback network; no time is asserted.
set -uo pipefail
B=$(cd "${1:?build folder}" && pwd) || exit 2
cd "$(dirname "$0")" || exit 2
CASES="roll halt sender_killed sender_paused leaving probes id_taken limits"
i=$(echo $CASES | tr ' ' '\n' | grep -nx "${2:?case: $CASES}" | cut -d: -f1)
# A network that belongs to this build folder and that nobody uses.
n=$(cksum <<<"$B" | cut -d' ' -f1)
for j in $(seq 0 49); do
	NET=127.$((20 + (n + j) % 200)).${i:?no such case}
	(: <>"/dev/tcp/$NET.100/2379") 2>/dev/null || break
done
. ../faults/fleet.sh
TOKEN='Authorization: Bearer w-token'

# Five engines that honour fencing numbers and five that ignore them.
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

# apply VERSION PROBE-PERCENT: both services are to have this version.
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

# The runners of a service by address, and the version that each serves.
runners() {
	curl -sf "$ADMIN/targets" |
	    jq -r ".[] | select(.service == \"$1\") | .address"
}
versions() {
	local a
	for a in $(runners "$1"); do
		curl -sf -m 5 "http://$a/v1/orders" |
		    jq -r 'select(.ready) | .models[0].version'
	done
}
all_have() { [ "$(versions "$1" | grep -cx "$2")" = 5 ]; }
both_have() { all_have honoured "$1" && all_have ignored "$1"; }
# The node that last took the lease of a service, or nothing.
sender() {
	grep -h "orders-lease-held.*service=\"$1\"" "$D"/e?.log | sort |
	    tail -n 1 | sed -n 's/.* host=e\([0-9]\) .*/\1/p'
}
orders() { curl -sf "$ADMIN/orders" | jq -r "$1"; }

# Asks every node for both services, in the background, until the file stop is
# there; what is not 200 goes into the file refused.
serve() {
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
served() {
	touch "$D/stop"
	wait "${PID[server]}"
	unset "PID[server]"
	[ -s "$D/codes" ] || fail "no request was sent"
	! grep -vxq 200 "$D/codes" ||
	    fail "not answered: $(sort "$D/codes" | uniq -c | tr '\n' ' ')"
}

# No runner takes an order of an older sender after one of a newer.
check_fences() {
	[ "$(orders '[.orders[] | select(.accepted)] | group_by(.address) |
	    map([.[].fence] | . == sort) | all')" = true ] ||
	    fail "an old order was taken: $(orders '.orders | tojson')"
}

# Two services load, each at most one of five at a time.
case_roll() {
	start
	until_true "version 1" both_have 1
	serve 1 2 3 &
	PID[server]=$!
	apply 2
	until_true "version 2" both_have 2
	served
	[ "$(orders .most_loading)" -le 2 ] ||
	    fail "$(orders .most_loading) loaded at once"
	check_fences
}

case_halt() {
	start
	until_true "version 1" both_have 1
	target "service=honoured&fail_version=2"
	serve 1 2 3 &
	PID[server]=$!
	apply 2
	until_true "halt" grep -q 'orders-halted.*service="honoured"' "$D"/e?.log
	until_true "the other service" all_have ignored 2
	served
	[ "$(versions honoured | grep -cx 1)" = 4 ] ||
	    fail "went on after the failure"
	target "service=honoured&fail_version=0"
	apply 3
	until_true "version 3" both_have 3
}

# crossed KIND: another node than $OLD has taken the lease.
crossed() { [ "$(sender "$1")" != "$OLD" ]; }

case_sender_killed() {
	local most
	start
	until_true "version 1" both_have 1
	OLD=$(sender honoured)
	most=$(orders '[.orders[].fence] | max')
	apply 2
	until_true "first order" started 2
	crash_node "$OLD"
	until_true "another sender" crossed honoured
	until_true "version 2" both_have 2
	check_fences
	[ "$(orders "[.orders[] | select(.accepted and .fence > $most)] |
	    length")" -gt 0 ] || fail "no higher fencing number"
}
# Some runner has been told to load this version.
started() {
	local a
	for a in $(runners honoured); do
		curl -sf -m 5 "http://$a/v1/orders" |
		    jq -e ".loading or .models[0].version == \"$1\"" >/dev/null &&
		    return 0
	done
	return 1
}

# The sender of both kinds sleeps past its lease in the middle of a change.
case_sender_paused() {
	local kind
	start
	until_true "version 1" both_have 1
	for kind in honoured ignored; do
		OLD=$(sender $kind)
		apply "2$kind"
		until_true "first order" some_has $kind "2$kind"
		kill -STOP "${PID[$OLD]}"
		until_true "another sender" crossed $kind
		apply "3$kind"
		until_true "new version" all_have $kind "3$kind"
		kill -CONT "${PID[$OLD]}"
		until_true "awake" generation_is "$OLD" \
		    "$(generation $((OLD % 3 + 1)))"
		until_true "version after the pause" both_have "3$kind"
		check_fences
	done
}
some_has() { [ "$(versions "$1" | grep -cx "$2")" -gt 0 ]; }

# state N ADDRESS: what node N holds of a target.
state() {
	status "$1" | jq -r ".targets[] | select(.address == \"$2\") | .state"
}
state_is() { [ "$(state "$1" "$2")" = "$3" ]; }
look() {
	curl -s -o /dev/null -w '%{http_code}\n' -H "$TOKEN" \
	    -d '{"text":"a"}' "http://$NET.$1:8080/v1/pipelines/look"
}
look_until_left() {
	[ "$(look 1)" = 200 ] && state_is 1 "$GONE" leaving
}

# Told to node 1 only, by refusals; the host list still says live.
case_leaving() {
	local i
	GONE=$NET.101:8000
	start
	target "address=$GONE&fault=leaving"
	until_true "node 1 is told" look_until_left
	for i in 2 3; do
		until_true "node $i is told" state_is $i "$GONE" leaving
	done
	curl -sf -o /dev/null -X POST "$ADMIN/reset"
	for i in $(seq 20); do
		[ "$(look 2)$(look 3)" = 200200 ] || fail "not answered"
	done
	[ "$(curl -sf "$ADMIN/targets" |
	    jq ".[] | select(.address == \"$GONE\") | .calls")" = 0 ] ||
	    fail "a leaving target got calls"
	[ "$(curl -sf "http://$HOSTS/hosts" |
	    jq -r ".hosts[] | select(.address == \"$GONE\") | .state")" = \
	    live ] || fail "the host list has changed"
	# It stays after all: it gets calls again at every node.
	target "address=$GONE&fault=none"
	for i in 1 2 3; do
		until_true "node $i takes it back" state_is $i "$GONE" live
	done
}

# Without any request all learn it from those that ask for loads.
case_probes() {
	local i
	GONE=$NET.101:8001
	start 100
	for i in 1 2 3; do
		until_true "node $i asks" asked $i sequoia_probes_total
	done
	target "address=$GONE&fault=leaving"
	for i in 1 2 3; do
		until_true "node $i is told" state_is $i "$GONE" leaving
		[ "$(metric $i sequoia_failed_probes_total)" = 0 ] ||
		    fail "a probe failed"
	done
}
asked() { [ "$(metric "$1" "$2")" -gt 0 ]; }

# Another process takes node 1's id, at another address.
case_id_taken() {
	start
	sed "s/$NET.1:808\([012]\)/$NET.4:808\1/" "$D/e1.ini" >"$D/e4.ini"
	sed -i "s/^peers =.*/peers = $NET.2:8082/" "$D/e4.ini"
	"$B/entry/sequoiad" "$D/e4.ini" >>"$D/e4.log" 2>&1 &
	PID[4]=$!
	until_true "the newer one is ready" ready 4
	until_true "the older one has noticed" taken
	! ready 1 || fail "the older one is still ready"
	[ "$(look 1)" = 200 ] || fail "the older one no longer answers"
	[ "$(grep -c id-taken "$D/e1.log")" = 1 ] || fail "logged repeatedly"
	ready 4 && ready 2 && ready 3 || fail "others are not ready"
}
taken() { grep -q id-taken "$D/e1.log"; }

# flood NODE...: LIMIT requests at once to each; says how many were admitted.
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

# Three times the limit for a while, then all of it at one node.
case_limits() {
	local n=0 from to
	start
	from=$(date +%s)
	for _ in $(seq 10); do
		n=$((n + $(flood 1 2 3)))
		sleep 1
	done
	to=$(date +%s)
	# What had gathered before, and half a limit for who is not yet known.
	[ $n -le $((LIMIT * (to - from + 1) + LIMIT + LIMIT / 2)) ] ||
	    fail "$n admitted in $((to - from)) s at $LIMIT a second"
	[ $n -ge $((LIMIT * 5)) ] || fail "only $n admitted"
	until_true "node 1 has most of the limit" most_of_it
}
# An even share would be a third.
most_of_it() {
	sleep 1
	[ "$(flood 1)" -gt $((LIMIT / 2)) ]
}

"case_$2"
