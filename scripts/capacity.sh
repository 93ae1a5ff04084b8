#!/usr/bin/env bash
# Measures idle lsrouter processes on loopback for docs/CAPACITY.md: CPU time, resident memory, bytes on the sockets
# to peers, platform and engines, and platform calls. Writes one row per run to stdout.
#
# usage: scripts/capacity.sh fleet [ROUTERS...]   idle fleets with 12 engines, default 1 4 8 16 32
#        scripts/capacity.sh vms [VMS...]         one router and a VM list of that size, default 20 500 4870
#        scripts/capacity.sh ledger [ORGANISATIONS...]  writes of one loaded router of three, default 4 16 64
#
# Each run takes WARM + SECONDS_EACH seconds (10 + 30). BIN, OUT and NET (first three numbers of the addresses) can be
# set. Engines in a long VM list beyond the 12 that run answer no poll.
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-bin} out=${OUT:-out/capacity} net=${NET:-127.0.31}
warm=${WARM:-10} seconds=${SECONDS_EACH:-30}
ticks=$(getconf CLK_TCK)
services=0 engines=12
. demo/fleet.sh

# pause SECONDS waits so that a signal ends it at once.
pause() { sleep "$1" & nap=$!; wait "$nap"; }
nap=
end() { [[ -n $nap ]] && kill "$nap" 2>/dev/null; stop_all; }
traps() { trap 'end; exit 130' INT TERM; trap end EXIT; }

# write_vms ROUTERS VMS writes the settings of the platform with a VM list of that size, or the running VMs only.
write_vms() {
	local i n=$1 vms=$2 role address
	{
		echo "listen: $net.100:7000"
		echo "vms:"
		for ((i = 1; i <= n; i++)); do
			echo "  - {name: entry-$i, region: r1, zone: $(zone_of $i), role: entry, state: live, address: \"$net.$i:8080\", peer_address: \"$net.$i:8081\"}"
		done
		for ((i = 1; i <= vms - n || i <= engines; i++)); do
			((i <= engines)) && address=$net.$((200 + i)):7100 || address=127.0.0.1:1
			echo "  - {name: engine-$i, region: r1, zone: $(zone_of $i), role: engine, state: live, address: \"$address\", models: [model-$((i % 32))], bytes_per_token: 4, max_in_flight: 48}"
		done
	} >"$dir/platform.yaml"
}

# write_idle_router NUMBER writes settings with the default intervals.
write_idle_router() {
	local i=$1 a="$net.$1" peers="\"$net.1:8081\""
	((i == 1)) && peers=""
	cat >"$dir/e$i.yaml" <<-YAML
		vm: entry-$i
		region: r1
		zone: $(zone_of "$i")
		listen: {caller: "$a:8080", peer: "$a:8081", admin: "$a:8082"}
		advertise: {caller: "$a:8080", peer: "$a:8081"}
		platform: {address: "$net.100:7000"}
		peers: [$peers]
		operator_keys: ["$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)"]
	YAML
}

# cpu_ticks PID... prints the sum of user and system time.
cpu_ticks() { local p; for p in "$@"; do cat "/proc/$p/stat"; done 2>/dev/null | awk '{s += $14 + $15} END {print s + 0}'; }
memory() { # FIELD PID...
	local field=$1 p
	shift
	for p in "$@"; do grep "^$field:" "/proc/$p/status"; done 2>/dev/null | awk '{s += $2; if ($2 > m) m = $2} END {printf "%.1f/%.1f", s / NR / 1024, m / 1024}'
}
# socket_bytes FILTER... prints bytes sent and received on the connections that the filter selects, from the client's end.
socket_bytes() {
	ss -tinH "$@" 2>/dev/null | grep -o 'bytes_\(sent\|received\):[0-9]*' |
		awk -F: '$1 == "bytes_sent" {s += $2} $1 == "bytes_received" {r += $2} END {print s + 0, r + 0}'
}
counters() { curl -s -m 5 "http://$net.100:7000/control/counters" | tr -d '{}"' | tr , ' '; }
# snapshot sets the array $shot.
snapshot() {
	read -r -a shot <<<"$(cpu_ticks "${routers_pids[@]}") $(cpu_ticks "$platform_pid") $(socket_bytes dst "$net.0/24" and dport = 8081) $(socket_bytes dst "$net.0/24" and dport = 7000) $(socket_bytes dst "$net.0/24" and dport = 7100) $(date +%s%N)"
	calls=$(counters)
}

# measure ROUTERS VMS runs one fleet and prints its row.
measure() {
	local n=$1 vms=$2 i
	dir=$out/$n-$vms
	rm -rf "$dir"
	mkdir -p "$dir"
	pids=() routers_pids=()
	write_vms "$n" "$vms"
	start platform "$bin/lsplatform" -settings "$dir/platform.yaml"
	platform_pid=$pid
	for ((i = 1; i <= engines; i++)); do
		echo "listen: $net.$((200 + i)):7100" >"$dir/g$i.yaml"
		start "g$i" "$bin/lsengine" -settings "$dir/g$i.yaml"
	done
	for ((i = 1; i <= n; i++)); do
		write_idle_router "$i"
		start "e$i" "$bin/lsrouter" -settings "$dir/e$i.yaml"
		routers_pids+=("$pid")
	done
	pause "$warm"
	check_started
	snapshot
	local a=("${shot[@]}") before=$calls
	pause "$seconds"
	check_started
	snapshot
	local b=("${shot[@]}")
	awk -v a="${a[*]}" -v b="${b[*]}" -v n="$n" -v vms="$vms" -v hz="$ticks" -v rss="$(memory VmRSS "${routers_pids[@]}")" \
		-v before="$before" -v after="$calls" -v wire="$(curl -s -m 5 "http://$net.100:7000/v1/vms" | wc -c)" 'BEGIN {
		split(a, x); split(b, y); t = (y[9] - x[9]) / 1e9
		printf "routers=%d vms=%d seconds=%.1f cpu%%/router=%.2f platform_cpu%%=%.2f rss_mb_mean/max=%s", n, vms, t, (y[1]-x[1])/hz/t/n*100, (y[2]-x[2])/hz/t*100, rss
		printf " B/s/router: peer=%.0f+%.0f platform_sent=%.0f platform_received=%.0f engine_sent=%.0f engine_received=%.0f", (y[3]-x[3])/t/n, (y[4]-x[4])/t/n, (y[5]-x[5])/t/n, (y[6]-x[6])/t/n, (y[7]-x[7])/t/n, (y[8]-x[8])/t/n
		printf " vm_list_bytes=%d calls/s:", wire
		m = split(before, p, " "); split(after, q, " ")
		for (k = 1; k <= m; k++) { split(p[k], u, ":"); split(q[k], v, ":"); printf " %s=%.2f", u[1], (v[2]-u[2])/t }
		print ""
	}'
	stop_all
	traps
}

# measure_ledger ORGANISATIONS sends requests of that many organisations to one router, one connection at first as fast as
# it can, then 100/s, and prints the platform calls of each second.
measure_ledger() {
	local n=$1 i load before after
	dir=$out/ledger-$n
	rm -rf "$dir"
	mkdir -p "$dir"
	pids=()
	routers=3 engines=2 slow_engine=2 token_time=0s prefill_time=0s engine_slots=4096
	start_fleet
	await_router
	must class create bench -target whole
	for ((i = 1; i <= n; i++)); do organisation "org-$i" bench avoid-overspend 100000000000; done
	"$bin/lsload" wait -fleet "$dir/fleet.yaml" >>"$dir/setup.log" 2>&1 || exit 3
	echo "organisations=$n; calls in each second of the load:"
	"$bin/lsload" router-bench -fleet "$dir/fleet.yaml" -out "$dir" -connections 4 -streams 1 -rate 100 -duration 8s >"$dir/bench.txt" 2>&1 &
	load=$!
	pids+=("$load")
	before=$(counters)
	for ((i = 0; i < 60; i++)); do
		kill -0 "$load" 2>/dev/null || break
		pause 1
		after=$(counters)
		awk -v before="$before" -v after="$after" 'BEGIN {
			m = split(before, p, " "); split(after, q, " ")
			for (k = 1; k <= m; k++) { split(p[k], u, ":"); split(q[k], v, ":"); if (u[1] ~ /reads|writes|throttled/) printf "%s=%d ", u[1], v[2]-u[2] }
			print ""
		}'
		before=$after
	done
	head -n 2 "$dir/bench.txt"
	stop_all
	traps
}

mode=${1:-}
shift
traps
case $mode in
fleet) for n in "${@:-1 4 8 16 32}"; do for k in $n; do measure "$k" $((k + engines)); done; done ;;
vms) for n in "${@:-20 500 4870}"; do for k in $n; do measure 1 "$k"; done; done ;;
ledger) for n in "${@:-4 16 64}"; do for k in $n; do measure_ledger "$k"; done; done ;;
*) sed -n '2,12s/^# \{0,1\}//p' "$0" >&2; exit 2 ;;
esac
