# Starts and stops a fleet of separate processes on loopback. Sourced by run.sh and experiment.sh.
#
# The caller sets: bin (directory of the binaries), dir (directory for settings and logs), net (first three numbers
# of the loopback addresses), routers, engines, services (numbers of processes).

zones=(a b c)
operator_key=demo-operator-key
pids=()

# start NAME COMMAND... starts a process in the background, with its log in $dir, and sets $pid.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pid=$!
	pids+=("$pid")
	# Keeps the shell from reporting processes that the load tool kills.
	disown "$pid"
}

# stop_all ends each process that start has started, also frozen ones, and waits for them.
stop_all() {
	trap - EXIT INT TERM
	local p n
	for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null; done
	for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
	for ((n = 0; n < 20; n++)); do
		local running=0
		for p in "${pids[@]}"; do kill -0 "$p" 2>/dev/null && running=1; done
		((running)) || break
		sleep 0.1
	done
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
}

zone_of() { echo "${zones[$((($1 - 1) % ${#zones[@]}))]}"; }

# An engine with the number in slow_engine serves another model with 1 s for each token.
model_of() { [[ $1 == "${slow_engine:-}" ]] && echo slow || echo demo; }
token_time_of() { [[ $1 == "${slow_engine:-}" ]] && echo 1s || echo "${token_time:-4ms}"; }

write_platform() {
	local i
	{
		echo "listen: $net.100:7000"
		echo "vms:"
		for ((i = 1; i <= routers; i++)); do
			echo "  - {name: e$i, region: r1, zone: $(zone_of $i), role: entry, state: live, address: \"$net.$i:8080\", peer_address: \"$net.$i:8081\"}"
		done
		for ((i = 1; i <= engines; i++)); do
			echo "  - {name: g$i, region: r1, zone: $(zone_of $i), role: engine, state: live, address: \"$net.$((20 + i)):7100\", models: [$(model_of $i)], bytes_per_token: 4, max_in_flight: $((${engine_slots:-16} + 32))}"
		done
		for ((i = 1; i <= services; i++)); do
			echo "  - {name: s$i, region: r1, zone: $(zone_of $i), role: service, state: live, address: \"$net.$((60 + i)):7200\", service: booking}"
		done
	} >"$dir/platform.yaml"
}

write_router() { # NUMBER
	local i=$1 address="$net.$1" peers="" n
	for ((n = 1; n <= routers; n++)); do
		[[ $n != "$i" ]] && peers+="\"$net.$n:8081\", "
	done
	cat >"$dir/e$i.yaml" <<-END
		vm: e$i
		region: r1
		zone: $(zone_of "$i")
		listen: {caller: "$address:8080", peer: "$address:8081", admin: "$address:8082"}
		advertise: {caller: "$address:8080", peer: "$address:8081"}
		platform: {address: "$net.100:7000"}
		peers: [${peers%, }]
		intervals: {probe: 500ms, probe_timeout: 200ms, failed_after: 3s, vm_list: 500ms, config_exchange: 500ms, address_ttl: 2s, watch: 5s}
		log: {format: text, level: ${log_level:-info}}
		operator_keys: ["$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)"]
	END
}

# start_fleet starts all processes and writes $dir/fleet.yaml.
start_fleet() {
	local i fleet="$dir/fleet.yaml"
	write_platform
	start platform "$bin/lsplatform" -settings "$dir/platform.yaml"
	{
		echo "platform: {vm: platform, address: \"$net.100:7000\", pid: $pid}"
		echo "operator_key: $operator_key"
		echo "engines:"
	} >"$fleet"
	for ((i = 1; i <= engines; i++)); do
		cat >"$dir/g$i.yaml" <<-END
			listen: $net.$((20 + i)):7100
			engine: {models: [$(model_of $i)], slots: ${engine_slots:-16}, queue_limit: 64, token_time: $(token_time_of $i), prefill_time: ${prefill_time:-20us}, speed: 1, cache_blocks: 4096, event_lag: 200ms, load_lag: 300ms, fencing: enforced, poison_marker: "POISON ", model_bytes: 67108864, adapter_bytes: 1048576, seed: $i}
		END
		start "g$i" "$bin/lsengine" -settings "$dir/g$i.yaml"
		echo "  - {vm: g$i, address: \"$net.$((20 + i)):7100\", pid: $pid}" >>"$fleet"
	done
	echo "services:" >>"$fleet"
	for ((i = 1; i <= services; i++)); do
		printf 'listen: %s:7200\nservice: {latency: 5ms}\n' "$net.$((60 + i))" >"$dir/s$i.yaml"
		start "s$i" "$bin/lsservice" -settings "$dir/s$i.yaml"
		echo "  - {vm: s$i, address: \"$net.$((60 + i)):7200\", pid: $pid}" >>"$fleet"
	done
	echo "routers:" >>"$fleet"
	for ((i = 1; i <= routers; i++)); do
		write_router "$i"
		start "e$i" "$bin/lsrouter" -settings "$dir/e$i.yaml"
		echo "  - {vm: e$i, zone: $(zone_of "$i"), caller: \"$net.$i:8080\", admin: \"$net.$i:8082\", pid: $pid}" >>"$fleet"
	done
	echo "keys:" >>"$fleet"
}

ctl() { LSCTL_KEY=$operator_key LSCTL_ADMIN=$net.1:8082 "$bin/lsctl" "$@"; }

# must runs an operator's command, with its output in $dir/setup.log.
must() {
	if ! ctl "$@" >>"$dir/setup.log" 2>&1; then
		echo "setup failed: lsctl $*" >&2
		tail -n 3 "$dir/setup.log" >&2
		exit 3
	fi
}

# check_started fails if a process has ended, such as on an address that another fleet uses.
check_started() {
	local p
	for p in "${pids[@]}"; do
		if ! kill -0 "$p" 2>/dev/null; then
			echo "a process ended at its start; see the logs in $dir:" >&2
			grep -l -i "error\|in use" "$dir"/*.log >&2
			exit 3
		fi
	done
}

# await_router waits until the first router accepts operators' changes.
await_router() {
	local n
	for ((n = 0; n < 100; n++)); do
		check_started
		ctl class list >>"$dir/setup.log" 2>&1 && return
		sleep 0.1
	done
	echo "the first router does not answer; see $dir/e1.log" >&2
	exit 3
}

# organisation ID CLASS PREFERENCE TOKENS creates an organisation with one budget and one key.
organisation() {
	local id=$1 class=$2 preference=$3 tokens=$4 key
	must organisation create "$id" -default-class "$class"
	must budget create "$id/main" -preference "$preference"
	must budget topup "$id/main" -id "invoice-$id" -tokens "$tokens"
	key=$(ctl key create -organisation "$id" -budget main -json | sed -n 's/.*"key": *"\([^"]*\)".*/\1/p' | head -n 1)
	echo "  - {organisation: $id, budget: main, key: $key}" >>"$dir/fleet.yaml"
}

# configure creates the classes and organisations of the two users.
configure() {
	must class create briefing -target whole
	must class create handover -target whole
	must class create hotel-reply -target deadline -deadline 15s
	must class create driver-reply -target deadline -deadline 6s
	must class create ride -target deadline -deadline 8s -non-idempotent
	must class create contract -target deadline -deadline 20s
	must class create catalogue -target deadline -deadline 10s
	must class create returns -target whole
	must class create clamp -target deadline -deadline 8s -non-idempotent
	organisation velocar-dispatch briefing avoid-refusal 20000000
	organisation velocar-hotels hotel-reply avoid-refusal 10000000
	organisation svaz-praha contract avoid-overspend 20000000
	organisation svaz-brno catalogue avoid-overspend 10000000
	organisation svaz-plzen returns avoid-overspend "${scarce_tokens:-30000}"
}
