#!/usr/bin/env bash
# Demonstration: starts the stand-in and three sequoiads on loopback, applies
# examples/tinback, runs one request of each kind, prints the answers and stops
# all processes.
# Usage: run.sh BUILD-FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
B=$1
LOG=$(mktemp -d)
PIDS=()

cleanup() {
	for p in "${PIDS[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
	for p in "${PIDS[@]}"; do wait "$p" || true; done
	rm -rf "$LOG"
}
trap cleanup EXIT

# await URL: waits until the URL answers 200; fails after 10 s.
await() {
	for _ in $(seq 100); do
		curl -sf -o /dev/null "$1" && return 0
		sleep 0.1
	done
	echo "no answer: $1" >&2
	cat "$LOG"/* >&2
	return 1
}

ctl() { "$B/ctl/sequoiactl" "$@"; }

"$B/tests/standin/standin" tests/demo/standin.ini >"$LOG/standin" 2>&1 &
PIDS+=($!)
await http://127.0.0.1:23791/hosts
echo "== apply"
cp -r examples/tinback "$LOG/config"
ctl --kv 127.0.0.1:23790 apply "$LOG/config"
for i in 1 2 3; do
	"$B/entry/sequoiad" "tests/demo/e$i.ini" >"$LOG/e$i" 2>&1 &
	PIDS+=($!)
done
for i in 1 2 3; do await "http://127.0.0.$i:18081/readyz"; done
sleep 1

echo "== a label tag, streamed"
ctl call label-tag --stream --to 127.0.0.1:18080 --token depots-token \
    '{"text":"blue tin","note":"marker=T1 blue tin, 4 l, dented lid"}' |
    grep -v '^:' | tail -4
echo "== a driver's question"
curl -sf -D "$LOG/head" -H 'Authorization: Bearer kerb-token' \
    -d '{"text":"odd tin","question":"marker=Q1 no label: take it?"}' \
    http://127.0.0.2:18080/v1/pipelines/driver-question
echo
echo "== its trace"
id=$(tr -d '\r' <"$LOG/head" | sed -n 's/^Sequoia-Request-Id: //p')
curl -sf -H 'Authorization: Bearer kerb-token' \
    "http://127.0.0.2:18080/v1/requests/$id/trace"
echo
echo "== a collection booking"
ctl call collection --key new --to 127.0.0.3:18080 --token shops-token \
    '{"text":"12 tins","shop":"Hobart 3"}'
echo "== status"
ctl status 127.0.0.1:18081
