#!/usr/bin/env bash
# Usage: run-case-3.sh CASE RECORD: plays a case of review/standin-3 with three
# sequoiads and writes what happened to the file RECORD.  Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run.  TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")/.." || exit 2
case=$1
record=$2
tmp=$(mktemp -d) || exit 2
pids=()
cleanup() {
	for p in "${pids[@]}"; do
		kill -KILL "$p" 2>/dev/null
		wait "$p" 2>/dev/null
	done
	rm -rf "$tmp"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

timeout -k 1 110 target/review-3/plat3 "$case" "$tmp" "$record" &
plat=$!
pids+=("$plat")
for _ in $(seq 100); do
	[ -e "$tmp/settings-written" ] && break
	sleep 0.05
done
[ -e "$tmp/settings-written" ] || exit 2
for i in 1 2 3; do
	target/entry/sequoiad "$tmp/h$i.ini" >"$tmp/h$i.log" 2>&1 &
	pids+=("$!")
done
wait "$plat"
rc=$?
[ -n "$KEEP_LOGS" ] && cp "$tmp"/*.log "$KEEP_LOGS"
case $rc in
0 | 1) exit "$rc" ;;
*) exit 2 ;;
esac
