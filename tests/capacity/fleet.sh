#!/usr/bin/env bash
# Prints what complete sequoiads cost on loopback with the stand-in: processor
# time of a request by its number of tokens, memory and processor time of an
# idle sequoiad by the number of known targets, and calls of an idle fleet to
# the key-value service by the size of the fleet.
# Usage: fleet.sh BUILD-FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
B=$1
REQUESTS=600
AT_ONCE=32
IDLE_SECONDS=10
DIR=$(mktemp -d)
PIDS=()

cleanup() {
	for p in "${PIDS[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
	for p in "${PIDS[@]}"; do wait "$p" 2>/dev/null || true; done
	rm -rf "$DIR"
}
trap cleanup EXIT

# await URL: waits until the URL answers 200; fails after 10 s.
await() {
	for _ in $(seq 100); do
		curl -sf -o /dev/null "$1" && return 0
		sleep 0.1
	done
	echo "no answer: $1" >&2
	exit 1
}

# ticks PID: prints the processor time of a process in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# thread_ticks PID: prints the processor time of the busiest thread of a process
# in clock ticks; under load this is the traffic thread.
thread_ticks() {
	for t in "/proc/$1"/task/*; do
		awk '{print $14 + $15}' "$t/stat"
	done | sort -n | tail -1
}
rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
# metric NAME: prints a counter of sequoiad 1.
metric() { curl -sf http://127.0.9.1:28081/metrics | sed -n "s/^$1 //p"; }
kv_calls() { curl -sf http://127.0.9.100:23792/kv | grep -o '"calls": *[0-9]*' | grep -o '[0-9]*$'; }

# fit UNIT: prints the least-squares slope and intercept of the lines "x y" in
# the file xy, and empties it.
fit() {
	awk -v unit="$1" '{n++; x+=$1; y+=$2; xx+=$1*$1; xy+=$1*$2}
	    END {s=(n*xy-x*y)/(n*xx-x*x);
	    printf "    fit: %.4g %s, intercept %.4g\n", s, unit, (y-s*x)/n}' "$DIR/xy"
	: >"$DIR/xy"
}

# start N: starts sequoiad N.
start() {
	{
		echo "[sequoiad]"
		echo "id = c$1"
		for k in listen:28080 operators:28081 rpc:28082; do
			echo "${k%:*} = 127.0.9.$1:${k#*:}"
		done
		echo "failure_domain = $(echo abcd | cut -c $(($1 % 4 + 1)))"
		echo "peers = 127.0.9.1:28082 127.0.9.2:28082"
		echo "drain_ms = 100"
		printf '[platform]\nkv = 127.0.9.100:23790\n'
		printf 'hosts = 127.0.9.100:23791\n'
		printf '[fleet]\nfleet_key = capacity-fleet-key-0123456789\n'
	} >"$DIR/c$1.ini"
	"$B/entry/sequoiad" "$DIR/c$1.ini" >"$DIR/c$1.log" 2>&1 &
	PIDS+=($!)
	await "http://127.0.9.$1:28081/readyz"
}

# idle_cpu PID: prints the processor time that a process uses while idle, in
# microseconds per second.
idle_cpu() {
	local before
	before=$(ticks "$1")
	sleep "$IDLE_SECONDS"
	echo $((($(ticks "$1") - before) * 1000000 / $(getconf CLK_TCK) / IDLE_SECONDS))
}

# add_targets FROM TO: adds targets with these numbers to the host list.
add_targets() {
	for i in $(seq "$1" "$2"); do
		echo "url = http://127.0.9.100:23792/hosts?add=127.9.$((i / 250)).$((i % 250)):8000&service=other-$((i % 20))&failure_domain=a"
		echo "output = /dev/null"
	done >"$DIR/add"
	curl -s -X POST --config "$DIR/add" -d ''
	sleep 3
}

# requests PIPELINE: sends REQUESTS requests, AT_ONCE in flight.
requests() {
	for _ in $(seq "$REQUESTS"); do
		echo "url = http://127.0.9.1:28080/v1/pipelines/$1"
		echo "output = /dev/null"
	done >"$DIR/urls"
	curl -sS -Z --no-progress-meter --parallel-max "$AT_ONCE" --config "$DIR/urls" \
	    -H 'Authorization: Bearer depots-token' \
	    -H 'Accept: text/event-stream' \
	    -d '{"text":"blue tin","note":"blue tin, 4 l, dented lid"}'
}

complete_count() {
	curl -sf http://127.0.9.1:28081/metrics |
	    sed -n 's/^sequoia_outcomes_total{outcome="complete"} //p'
}

mkdir "$DIR/conf"
cp tests/capacity/pipelines.ini "$DIR/conf/"
sed "s/^token_ms = 5/token_ms = 1/; s/network_ms = 1/network_ms = 0/; s/127.0.0.1/127.0.9.100/" \
    tests/demo/standin.ini >"$DIR/standin.ini"
"$B/tests/standin/standin" "$DIR/standin.ini" >"$DIR/standin.log" 2>&1 &
PIDS+=($!)
await http://127.0.9.100:23791/hosts
"$B/ctl/sequoiactl" --kv 127.0.9.100:23790 apply "$DIR/conf" >/dev/null
start 1
sleep 2
SEQUOIAD_1=${PIDS[1]}

echo "== a sequoiad under streamed requests of four stages ($REQUESTS each, $AT_ONCE at once)"
requests t8
before_rss=$(rss_kb "$SEQUOIAD_1")
for t in 8 64 256; do
	sleep 0.5
	c=$(ticks "$SEQUOIAD_1")
	ct=$(thread_ticks "$SEQUOIAD_1")
	done_before=$(complete_count)
	requests "t$t"
	sleep 0.5
	us=$((($(ticks "$SEQUOIAD_1") - c) * 1000000 / $(getconf CLK_TCK) / REQUESTS))
	us_thread=$((($(thread_ticks "$SEQUOIAD_1") - ct) * 1000000 / $(getconf CLK_TCK) / REQUESTS))
	echo "$t tokens: $us us of processor time a request," \
	    "$us_thread us of it on the busiest thread," \
	    "$(($(complete_count) - done_before)) complete"
	echo "$t $us" >>"$DIR/xy"
done
fit "us per token passed on"
echo "memory: $before_rss KB before, $(rss_kb "$SEQUOIAD_1") KB after"

echo "== a sequoiad in calm, by runners in the host list"
known=0
for n in 0 1000 5000 10000; do
	if [ "$n" -gt "$known" ]; then add_targets $((known + 1)) "$n"; fi
	known=$n
	us=$(idle_cpu "$SEQUOIAD_1")
	echo "$n runners more: $us us/s of processor time, $(rss_kb "$SEQUOIAD_1") KB"
	echo "$n $us" >>"$DIR/xy"
done
fit "us/s per runner"

echo "== a fleet in calm: calls to the key-value service"
n=1
for size in 1 3 9; do
	while [ "$n" -lt "$size" ]; do
		n=$((n + 1))
		start "$n"
	done
	sleep 3
	before=$(kv_calls)
	sent=$(metric sequoia_rpc_sent_bytes_total)
	datagrams=$(metric sequoia_rpc_sent_total)
	us=$(idle_cpu "$SEQUOIAD_1")
	sent=$((($(metric sequoia_rpc_sent_bytes_total) - sent) / IDLE_SECONDS))
	datagrams=$((($(metric sequoia_rpc_sent_total) - datagrams) * 10 / IDLE_SECONDS))
	calls=$((($(kv_calls) - before) * 10 / IDLE_SECONDS))
	echo "$size sequoiads: $calls calls in 10 s," \
	    "$(curl -sf http://127.0.9.100:23792/kv)"
	echo "    the first one: $us us/s of processor time, $sent B/s in" \
	    "$datagrams letters in 10 s, before seal and headers"
	echo "$size $calls" >>"$DIR/xy"
done
fit "calls in 10 s per sequoiad"
