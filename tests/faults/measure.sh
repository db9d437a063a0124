#!/usr/bin/env bash
# Measures on loopback how fast sequoiads agree on configuration and claims, and
# prints the tables of the section "Agreement" in docs/MEASUREMENTS.md.
# Usage: measure.sh BUILD-FOLDER
# From the environment, for a shorter run: CHANGES, the number of changes;
# SECONDS_EACH, the length of an idle measurement; CLAIMS, the number of claims.
set -uo pipefail
B=$(cd "${1:?build folder}" && pwd) || exit 2
cd "$(dirname "$0")" || exit 2
CHANGES=${CHANGES:-10}
EACH=${SECONDS_EACH:-10}
CLAIMS=${CLAIMS:-600}

now_ms() { date +%s%3N; }
median_worst() { sort -n | awk '{ v[NR] = $1 }
    END { printf "%.2f | %.2f", v[int((NR + 1) / 2)] / 1000, v[NR] / 1000 }'; }

# change TEXT: applies a change; prints the milliseconds until it is in force at
# all nodes.
change() {
	local g began n
	printf '; change %s\n' "$1" >>"$D/conf/20-pipelines.ini"
	began=$(now_ms)
	g=$(ctl apply "$D/conf" | sed -n 's/.*generation //p')
	for ((n = 1; n <= 9; n++)); do
		until [ "$(metric $n sequoia_config_generation)" -ge "$g" ]; do
			sleep 0.02
		done
	done
	echo $(($(now_ms) - began))
}
# changes TEXT: applies CHANGES changes; prints the median and the worst time in
# seconds.
changes() {
	for ((c = 0; c < CHANGES; c++)); do change "$1 $c"; done | median_worst
}

# Measures the time until a change is in force at nine nodes, by the state of
# the key-value service.
in_force() {
	local n
	NET=127.6.1
	. ./fleet.sh
	start_standin
	write_conf "$D/conf"
	ctl apply "$D/conf" >/dev/null
	fleet 1 2 3 4 5 6 7 8 9
	echo "| key-value service | median, s | worst, s |"
	echo "|---|---|---|"
	echo "| up | $(changes up) |"
	kv "mode=slow&slow_ms=200"
	echo "| slow, 200 ms a call | $(changes slow) |"
	kv mode=up
	for n in 4 5 6 7 8 9; do kv "from=$NET.$n&mode=hang"; done
	echo "| answers 3 of 9 sequoiads | $(changes some) |"
}

# sum METRIC N: prints the sum of a metric over the nodes 1 to N.
sum() {
	local n
	for ((n = 1; n <= $2; n++)); do metric "$n" "$1"; done |
	    awk '{ s += $1 } END { printf "%.6f", s }'
}

# claims N: measures keyed requests to N nodes; 48 are in flight at any time.
claims() {
	local n=$1 i nodes began kv0 kv1 took
	NET=127.6.$((1 + n))
	. ./fleet.sh
	start_standin latency_ms=1 batch=64
	write_conf "$D/conf"
	ctl apply "$D/conf" >/dev/null
	nodes=$(seq "$n")
	fleet $nodes
	for i in $(seq "$CLAIMS"); do
		[ "$i" = 1 ] || echo next
		cat <<-END
		url = "http://$NET.$((i % n + 1)):8080/v1/pipelines/entry"
		header = "Authorization: Bearer w-token"
		header = "Idempotency-Key: $(new_key)"
		data = "{}"
		output = "/dev/null"
		END
	done >"$D/requests"
	kv0=$(sum sequoia_claims_kv_calls_total "$n")
	began=$(now_ms)
	curl -s --parallel --parallel-max 48 --config "$D/requests" 2>/dev/null
	took=$(($(now_ms) - began))
	kv1=$(sum sequoia_claims_kv_calls_total "$n")
	echo "$n $CLAIMS $took $kv0 $kv1" | awk '{ printf \
	    "| %d | %.0f | %.2f |\n", $1, $2 * 1000 / $3, ($5 - $4) / $2 }'
}

# idle N: measures the control traffic of an idle fleet of N nodes, per node.
idle() {
	local n=$1 nodes s0 c0 k0 s1 c1 k1
	NET=127.6.$((20 + n))
	. ./fleet.sh
	start_standin
	write_conf "$D/conf"
	ctl apply "$D/conf" >/dev/null
	nodes=$(seq "$n")
	fleet $nodes
	sleep 3
	s0=$(sum sequoia_rpc_sent_bytes_total "$n")
	c0=$(sum sequoia_cpu_seconds_total "$n")
	k0=$(kv_count calls)
	sleep "$EACH"
	s1=$(sum sequoia_rpc_sent_bytes_total "$n")
	c1=$(sum sequoia_cpu_seconds_total "$n")
	k1=$(kv_count calls)
	echo "$n $EACH $s0 $s1 $c0 $c1 $k0 $k1" | awk '{ d = $1 * $2; printf \
	    "| %d | %.0f | %.2f | %.2f |\n", $1, ($4 - $3) / d, \
	    ($6 - $5) / d * 100, ($8 - $7) / d }'
}

# Counts the outcomes of requests with and without keys during an outage of the
# key-value service of 30 s.
outage() {
	local end
	NET=127.6.10
	. ./fleet.sh
	start_standin latency_ms=5
	write_conf "$D/conf"
	ctl apply "$D/conf" >/dev/null
	fleet 1 2 3
	kv mode=hang
	end=$((SECONDS + 30))
	while ((SECONDS < end)); do
		for n in 1 2 3; do
			(
				outcome=$(send $n entry "$(new_key)" 1)
				echo "keyed $outcome" >>"$D/outcomes"
			) &
			CALLERS+=($!)
			(
				if serves $n; then
					echo "other complete"
				else
					echo "other not"
				fi
			) >>"$D/outcomes" &
			CALLERS+=($!)
		done
		sleep 0.25
	done
	kv mode=up
	join
	sort "$D/outcomes" | uniq -c | awk '{ printf "| %s | %s | %d |\n", \
	    $2, $3, $1 }'
}
(in_force)
echo
echo "| sequoiads | claims a second | key-value calls for each |"
echo "|---|---|---|"
for n in 1 3 9; do (claims $n); done
echo
echo "| sequoiads | bytes/s sent by each | processor, % of a core each" \
    "| key-value calls/s each |"
echo "|---|---|---|---|"
for n in 3 9 27; do (idle $n); done
echo
echo "| requests in the outage | told | count |"
echo "|---|---|---|"
(outage)
