#!/usr/bin/env bash
# Measures a fleet of sequoiads on loopback under load and faults: one run for
# each deployment, scenario, policy variant and seed, in sequence.
#
# Usage: run.sh BUILD-FOLDER
# Environment:
#   SCENARIO    names, or all (the default); see the functions do_NAME below;
#               all leaves out long_answers and direct
#   SEEDS       default "1 2 3"
#   DEPLOYMENTS default "tinback ardcarrig"
#   VARIANTS    default "default baseline"; also KEY=VALUE,... of [policy]
#   SECONDS_RUN seconds of a run after the warm-up, default 12
#   HOSTS       sequoiads, default 9
#   NET         first three numbers of the loopback addresses, default 127.0.0
#   OUT         folder for reports and logs, default build/measure
set -euo pipefail
cd "$(dirname "$0")/../.."
B=$1
SEEDS=${SEEDS:-1 2 3}
DEPLOYMENTS=${DEPLOYMENTS:-tinback ardcarrig}
VARIANTS=${VARIANTS:-default baseline}
SECONDS_RUN=${SECONDS_RUN:-12}
OUT=${OUT:-build/measure}
NET=${NET:-127.0.0}
HOSTS=${HOSTS:-9}
PORT=11080
WARM=5
ADMIN=$NET.1:13792
KV=$NET.1:13790
BASELINE='balance=round-robin admission=no fair=no hedge=no set_aside=no
resume=no stall=no prefer_domain=no split=none retries=1 retry_budget=100'
ALL='steady burst overload slow_runner half_failing dead_runner domain_gone
silent lagging_load kv_down two_killed rolling flood leaving slow_and_overload
domain_and_burst callers64'

TMP=$(mktemp -d)
mkdir "$TMP/pids"

# end_process NAME PID SIGNAL: signals the process if it was started with
# NAME.ini; otherwise the pid has been reused, as happens on a busy machine.
end_process() {
	local args
	args=$({ tr '\0' ' ' <"/proc/$2/cmdline"; } 2>/dev/null) || return 0
	case $args in *"$TMP/$1.ini "*) kill "-$3" "$2" 2>/dev/null || true ;; esac
}

# Kills all processes that this script started.
stop_all() {
	local f
	for f in "$TMP"/pids/*; do
		[ -e "$f" ] || continue
		end_process "${f##*/}" "$(cat "$f")" KILL
		await_end "$(cat "$f")"
		rm "$f"
	done
}

# await_end PID: waits until the process has ended.
await_end() {
	while grep -qs "$TMP" "/proc/$1/cmdline"; do sleep 0.05; done
}
trap 'stop_all; rm -rf "$TMP"' EXIT

# await URL: waits until the URL answers; fails after 10 s.
await() {
	local _
	for _ in $(seq 100); do
		curl -sf -o /dev/null "$1" && return 0
		sleep 0.1
	done
	echo "no answer: $1" >&2
	return 1
}

# settings N: prints the settings file of sequoiad N.
settings() {
	local peers='' k domains=(a b c d)
	for k in $(seq $HOSTS); do peers+="$NET.$k:$((PORT + 2)) "; done
	cat <<-END
	[sequoiad]
	id = e$1
	listen = $NET.$1:$PORT
	operators = $NET.$1:$((PORT + 1))
	rpc = $NET.$1:$((PORT + 2))
	failure_domain = ${domains[$(($1 % 4))]}
	peers = $peers
	workers = 160
	[platform]
	kv = $KV
	hosts = $NET.1:13791
	[fleet]
	fleet_key = measure-fleet-key-0123456789
	END
}

start_sequoiad() {
	settings "$1" >"$TMP/e$1.ini"
	"$B/entry/sequoiad" "$TMP/e$1.ini" >>"$LOG/e$1.log" 2>&1 &
	echo $! >"$TMP/pids/e$1"
	disown
}

# configure DEPLOYMENT VARIANT SCENARIO: applies the deployment's configuration
# with the policy of the variant.
configure() {
	local pair keys=$2
	rm -rf "$TMP/conf"
	cp -r "examples/$1" "$TMP/conf"
	# Remove the workspaces' limits, which would hide the effect of the
	# policies.
	sed -i '/_per_second = /d' "$TMP"/conf/*.ini
	[ "$3" = long_answers ] && lengthen
	[ "$2" = default ] && keys=''
	[ "$2" = baseline ] && keys=$BASELINE
	{
		echo '[policy]'
		for pair in ${keys//,/ }; do echo "${pair%%=*} = ${pair#*=}"; done
	} >"$TMP/conf/90-variant.ini"
	"$B/ctl/sequoiactl" --kv $KV apply "$TMP/conf" >/dev/null
}

# Makes the answers of Tinback ten times as long; compared with normal answers,
# this shows the cost of a token.
lengthen() {
	sed -i -E -e 's/^(max_tokens|tokens) = (24|32)$/\1 = \20/' \
	    -e 's/^deadline_ms = 5000/deadline_ms = 30000/' \
	    -e 's/^stream_percent/deadline_ms = 30000\n&/' \
	    "$TMP"/conf/20-pipelines.ini "$INI"
}

admin() { curl -sf -o /dev/null -X POST "http://$ADMIN/$1"; }
engines() { sed -n '/kind = generate/,/^\[/s/^service = //p' "$INI" | head -1; }

# set_load SCENARIO: sets the load of a scenario: RATE in percent of the
# capacity, SURGE, CALLERS, DIRECT, and LENGTH in seconds.  The function
# do_SCENARIO sets the scenario's faults; it starts when the warm-up ends.
set_load() {
	RATE=70 SURGE='' CALLERS=0 DIRECT=0 LENGTH=$SECONDS_RUN
	case $1 in
	burst) RATE=50 && surge '' 3 2 7 ;;
	overload | slow_and_overload) RATE=150 LENGTH=30 ;;
	rolling) LENGTH=40 ;;
	flood) RATE=50 && surge "$FLOODER" 10 2 12 ;;
	domain_gone) RATE=50 ;;
	domain_and_burst) RATE=35 && surge '' 2 2 7 ;;
	callers64) CALLERS=64 LENGTH=60 ;;
	long_answers) CALLERS=64 LENGTH=20 ;;
	direct) DIRECT=100 ;;
	esac
}
# surge WORKSPACE FACTOR FROM TO: multiplies the arrivals of a workspace (of
# all if empty) between two seconds of the run.
surge() {
	printf -v SURGE '%s\n' "surge_workspace = $1" "surge_factor = $2" \
	    "surge_from = $3" "surge_to = $4"
}
do_steady() { :; }
do_callers64() { :; }
do_long_answers() { :; }
do_direct() { :; }
do_burst() { :; }
do_overload() { :; }
do_flood() { :; }
do_slow_runner() { admin "target?fault=slow&factor=5&address=$ENGINE"; }
do_half_failing() { admin "target?fault=fail_half&address=$ENGINE"; }
do_dead_runner() { admin "target?fault=refuse&address=$ENGINE"; }
do_domain_gone() { admin "target?fault=refuse&failure_domain=b"; }
do_silent() { admin "target?fault=silent&address=$ENGINE"; }
do_lagging_load() { :; }
do_kv_down() { admin 'kv?mode=down'; }
do_two_killed() {
	end_process e2 "$(cat "$TMP/pids/e2")" KILL
	end_process e6 "$(cat "$TMP/pids/e6")" KILL
}
do_leaving() {
	admin "hosts?set=leaving&address=$ENGINE"
	admin "target?fault=leaving&address=$ENGINE"
}
do_slow_and_overload() { do_slow_runner; }
do_domain_and_burst() { sleep 3; do_domain_gone; }
# Restarts all sequoiads one after the other.
do_rolling() {
	local i p
	for i in $(seq $HOSTS); do
		p=$(cat "$TMP/pids/e$i")
		end_process "e$i" "$p" TERM
		await_end "$p"
		start_sequoiad "$i"
		await "http://$NET.$i:$((PORT + 1))/readyz"
	done
}

# run_one DEPLOYMENT SCENARIO VARIANT SEED: does one run; fails if load sent
# requests too late.
run_one() {
	local i name="$1-$2-${3//[^a-z0-9_]/_}-$4" faults late=0
	INI=$TMP/deployment.ini
	LOG=$OUT/$name
	mkdir -p "$LOG"
	sed "s/127\.0\.0\./$NET./" "tests/load/$1.ini" >"$INI"
	[ "$2" = lagging_load ] &&
	    sed -i 's/^service = /load_lag_ms = 5000\n&/' "$INI"
	ENGINE=$(sed -n '/kind = generate/,/count/s/^listen = //p' "$INI" | head -1)
	FLOODER=$(sed -n 's/^; flooder = //p' "$INI")
	"$B/tests/standin/standin" "$INI" >"$LOG/standin.log" 2>&1 &
	echo $! >"$TMP/pids/deployment"
	disown
	await http://$NET.1:13791/hosts && configure "$1" "$3" "$2" || return 1
	for i in $(seq $HOSTS); do start_sequoiad "$i"; done
	for i in $(seq $HOSTS); do
		await "http://$NET.$i:$((PORT + 1))/readyz" || return 1
	done
	sleep 1.2
	set_load "$2"
	(sleep $WARM && "do_$2") &
	faults=$!
	cat >>"$INI" <<-END
	[run]
	deployment = $1
	scenario = $2
	variant = $3
	seed = $4
	out = $OUT/$name.json
	admin = $ADMIN
	net = $NET
	hosts = $HOSTS
	port = $PORT
	percent = $RATE
	warm_s = $WARM
	seconds = $LENGTH
	callers = $CALLERS
	direct = $DIRECT
	$SURGE
	END
	"$B/tests/load/load" "$INI" >"$LOG/load.txt" || late=$?
	wait $faults || echo "$name: the fault could not be set" >&2
	stop_all
	grep -h -E '^(attainment|lag_ms|effects|direct |path )' "$LOG/load.txt" |
	    tr '\n' ' ' | sed "s|^|$name: |"
	echo
	return $late
}

# retry_run DEPLOYMENT SCENARIO VARIANT SEED: repeats a run in which load sent
# requests too late, as on a busy machine.
retry_run() {
	echo "$*: load was late, repeating the run"
	run_one "$@" || echo "$*: load was late again, no measurement"
}

mkdir -p "$OUT"
[ "${SCENARIO:-all}" = all ] && SCENARIO=$ALL
FILES=()
for d in $DEPLOYMENTS; do
	for s in $SCENARIO; do
		for v in $VARIANTS; do
			for seed in $SEEDS; do
				run_one "$d" "$s" "$v" "$seed" || retry_run "$d" "$s" "$v" "$seed"
				FILES+=("$OUT/$d-$s-${v//[^a-z0-9_]/_}-$seed.json")
			done
		done
	done
done
jq -rs -f tests/load/table.jq "${FILES[@]}"
