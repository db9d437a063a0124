#!/usr/bin/env bash
# Starts the stand-ins and three sequoiads on loopback, applies
# examples/tinback, runs one request of each kind, shows what came back, and
# stops everything.  Usage: run.sh BUILD-FOLDER
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

# Waits until a URL answers 200; gives up after 10 s.
await() {
	for _ in $(seq 100); do
		curl -sf -o /dev/null "$1" && return 0
		sleep 0.1
	done
	echo "no answer: $1" >&2
	cat "$LOG"/* >&2
	return 1
}

key() {
	local ms
	ms=$(printf '%012x' "$(date +%s%3N)")
	printf '%s-%s-7%03x-8%03x-%012x\n' "${ms:0:8}" "${ms:8:4}" \
	    $((RANDOM % 4096)) $((RANDOM % 4096)) $((RANDOM * RANDOM))
}

"$B/tests/standin/standin" tests/demo/standin.ini >"$LOG/standin" 2>&1 &
PIDS+=($!)
await http://127.0.0.1:23791/hosts
echo "== apply"
"$B/ctl/sequoiactl" --kv 127.0.0.1:23790 apply examples/tinback
for i in 1 2 3; do
	"$B/entry/sequoiad" "tests/demo/e$i.ini" 2>"$LOG/e$i" &
	PIDS+=($!)
done
for i in 1 2 3; do await "http://127.0.0.$i:18081/readyz"; done
sleep 1

echo "== a label tag, streamed"
curl -sfN -D "$LOG/head" -H 'Authorization: Bearer depots-token' \
    -H 'Accept: text/event-stream' \
    -d '{"text":"blue tin","note":"marker=T1 blue tin, 4 l, dented lid"}' \
    http://127.0.0.1:18080/v1/pipelines/label-tag | grep -v '^:' | tail -4
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
curl -s -H 'Authorization: Bearer shops-token' \
    -H "Idempotency-Key: $(key)" -d '{"text":"12 tins","shop":"Hobart 3"}' \
    http://127.0.0.3:18080/v1/pipelines/collection
echo
echo "== status"
"$B/ctl/sequoiactl" status 127.0.0.1:18081 2>/dev/null ||
    curl -sf http://127.0.0.1:18081/status | head -c 400
echo
