#!/usr/bin/env bash
# Records what callers and operators receive on the wire in sessions against one
# sequoiad and the stand-in, and compares it with tests/golden/wire, or rewrites
# the golden files with --write.  Ids, times and ports are replaced by fixed
# words.  No session asserts elapsed time: it waits for states instead.
# Usage: run.sh BUILD-FOLDER [--write]
set -euo pipefail
cd "$(dirname "$0")/../.."
B=$1
WRITE=${2:-}
TMP=$(mktemp -d)
GOLDEN=tests/golden/wire
KERB='Authorization: Bearer kerb-token'
SHOPS='Authorization: Bearer shops-token'
SSE='Accept: text/event-stream'
STANDIN=
DAEMON=

cleanup() {
	for p in $DAEMON $STANDIN; do kill -TERM "$p" 2>/dev/null || true; done
	for p in $DAEMON $STANDIN; do wait "$p" || true; done
	rm -rf "$TMP"
}
trap cleanup EXIT
trap '' PIPE # a server may close before it has read the whole request
trap 'echo "failed: $BASH_COMMAND (line $LINENO)" >&2' ERR
set -E

# Sets BASE to the first of ten ports, derived from the build folder; nothing
# listens on the first.
choose_ports() {
	local n i
	n=$(cksum <<<"$PWD/$B" | cut -d' ' -f1)
	for i in $(seq 0 49); do
		BASE=$((25000 + (n + i * 7) % 700 * 10))
		(: <>"/dev/tcp/127.0.0.1/$BASE") 2>/dev/null || return 0
	done
	echo "no free ports" >&2
	return 1
}

# await COMMAND...: waits until the command succeeds; fails after a minute.
await() {
	for _ in $(seq 600); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	echo "not within a minute: $*" >&2
	cat "$TMP"/*.log >&2
	return 1
}

# Replaces texts that differ from run to run: ids, times, ports, lengths.
normalize() {
	tr -d '\r' | sed -E \
	    -e 's/[0-9a-f]{16}-[0-9a-f]+/REQUEST/g' \
	    -e 's/"(call_id|number|key)":("[^"]*"|[0-9]+)/"\1":ANY/g' \
	    -e 's/"ms":[0-9]+\.[0-9]{1,3}([^0-9])/"ms":MS\1/g' \
	    -e 's/^Content-Length: .*/Content-Length: N/' \
	    -e "s/127\.0\.0\.1:$((BASE / 10))([0-9])/HOST:\1/g"
}

# Prints each event of a stream on one line.  Consecutive tokens are joined: how
# many arrive together differs from run to run.
join_events() {
	awk '/^:/ { getline; next }
	    /^id: / || (streaming && /^$/) { streaming = 1; next }
	    /^event: / { kind = $2; next }
	    /^data: / && kind == "token" {
		sub(/^data: \{"text":"/, ""); sub(/"\}$/, "")
		tokens = tokens $0; next }
	    /^data: / { if (tokens != "") print "token*: " tokens
		tokens = ""; sub(/^data: /, ""); print kind ": " $0; next }
	    { print }'
}

# Prints an idempotency key: a UUID of version 7 with the current time.
new_key() {
	local ms r
	ms=$(printf '%012x' "$(date +%s%3N)")
	r=$(od -An -N9 -tx1 /dev/urandom | tr -d ' \n')
	printf '%s-%s-7%s-8%s-%s' "${ms:0:8}" "${ms:8:4}" \
	    "${r:0:3}" "${r:3:3}" "${r:6:12}"
}

title() { printf '\n== %s\n' "$1"; }

# request TITLE PATH CURL-ARGUMENTS...: records a request of a caller.
request() {
	title "$1"
	curl -s -i "${@:3}" "http://127.0.0.1:$BASE$2" | normalize | join_events
	echo
}

# request_ops TITLE PATH CURL-ARGUMENTS...: records a request to the operators'
# address.
request_ops() {
	title "$1"
	curl -s -i "${@:3}" "http://127.0.0.1:$((BASE + 1))$2" | normalize
	echo
}

# raw TITLE BYTES...: sends each argument in a separate write and records the
# response.
raw() {
	local part
	title "$1"
	shift
	exec 9<>"/dev/tcp/127.0.0.1/$BASE"
	for part in "$@"; do
		printf "$part" | cat >&9
	done
	normalize <&9
	exec 9>&-
	echo
}

admin() { curl -sf -o /dev/null -X POST "http://127.0.0.1:$((BASE + 5))$1"; }
ready() { curl -sf "http://127.0.0.1:$((BASE + 1))/readyz"; }
unready() { ! ready; }
metric() { curl -s "http://127.0.0.1:$((BASE + 1))/metrics" | grep -xF "$1"; }
none_in_flight() { metric "sequoia_requests_in_flight 0"; }
targets_seen() { metric 'sequoia_targets{service="engine",state="live"} 1'; }

start_standin() {
	cp -r tests/wire/conf "$TMP/conf"
	sed "s/BASE/$((BASE / 10))/" tests/wire/standin.ini >"$TMP/standin.ini"
	"$B/tests/standin/standin" "$TMP/standin.ini" >"$TMP/standin.log" 2>&1 &
	STANDIN=$!
	await curl -sf "http://127.0.0.1:$((BASE + 4))/hosts"
}

start_daemon() {
	sed "s/BASE/$((BASE / 10))/" tests/wire/sequoiad.ini >"$TMP/sequoiad.ini"
	"$B/entry/sequoiad" "$TMP/sequoiad.ini" >>"$TMP/sequoiad.log" 2>&1 &
	DAEMON=$!
	await curl -sf "http://127.0.0.1:$((BASE + 1))/healthz"
}

apply() {
	"$B/ctl/sequoiactl" --kv "127.0.0.1:$((BASE + 3))" apply "$TMP/conf"
}

. tests/wire/sessions.sh

check() {
	if [ "$WRITE" = --write ]; then
		cp "$TMP/$1" "$GOLDEN/$1.golden"
	elif ! diff -u "$GOLDEN/$1.golden" "$TMP/$1"; then
		echo "differs: $1 (make golden-wire rewrites it)" >&2
		FAILED=1
	fi
}

FAILED=0
choose_ports
start_standin
for s in $SESSIONS; do
	"session_$s" >"$TMP/$s"
	check "$s"
done
exit $FAILED
