#!/usr/bin/env bash
# Runs case N: its record goes to review/N/record.txt.  TROUBLE is 1, or 0 to
# leave the disruption out.  Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run.
# Usage: run-case.sh N TROUBLE
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
n=$1
trouble=$2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
if [ ! -x target/entry/sequoiad ] || [ ! -x "target/review/case-$n" ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
timeout 118 "target/review/case-$n" "$dir" "review/$n/record.txt" \
    "$trouble"
rc=$?
[ $rc -le 1 ] || rc=2
exit $rc
