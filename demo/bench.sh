#!/usr/bin/env bash
# Measures one router with instant engines and writes out/router-bench.json. The other routers only witness bills.
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-bin} out=${OUT:-out} net=${NET:-127.0.2}
routers=${ROUTERS:-3} engines=${ENGINES:-5} services=0
organisations=${ORGANISATIONS:-64}
token_time=0s prefill_time=0s engine_slots=4096 log_level=${LOG_LEVEL:-info}
dir=$out/bench
. demo/fleet.sh

rm -rf "$dir"
mkdir -p "$dir"
trap 'stop_all; exit 130' INT TERM
trap stop_all EXIT
slow_engine=$engines
start_fleet
await_router
must class create bench -target whole
for ((n = 1; n <= organisations; n++)); do organisation "org-$n" bench avoid-refusal 100000000000; done
"$bin/lsload" wait -fleet "$dir/fleet.yaml" || exit 3
"$bin/lsload" router-bench -fleet "$dir/fleet.yaml" -out "$out" "$@" &
load=$!
pids+=("$load")
wait "$load"
code=$?
du -h "$dir/e1.log" | sed 's/^/router log: /'
exit "$code"
