#!/usr/bin/env bash
# Runs a whole fleet on loopback with faults, in under a minute, and writes out/summary.json. Exits 1 if an invariant
# was broken. Ends all its processes, also when it is interrupted.
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-bin} out=${OUT:-out} net=${NET:-127.0.1}
routers=${ROUTERS:-8} engines=${ENGINES:-8} services=${SERVICES:-3}
scenario=${SCENARIO:-demo/demo.yaml}
dir=$out/fleet
. demo/fleet.sh

for name in lsplatform lsrouter lsengine lsservice lsctl lsload; do
	if [[ ! -x $bin/$name ]]; then
		echo "$bin/$name is missing; run make build" >&2
		exit 3
	fi
done
rm -rf "$dir"
mkdir -p "$dir"
trap 'stop_all; exit 130' INT TERM
trap stop_all EXIT

echo "starting lsplatform, $routers lsrouter in ${#zones[@]} availability zones, $engines lsengine, $services lsservice"
start_fleet
await_router
configure
"$bin/lsload" wait -fleet "$dir/fleet.yaml" || exit 3
# lsload runs in the background, so that an interrupt of this script reaches its trap at once.
"$bin/lsload" run -fleet "$dir/fleet.yaml" -scenario "$scenario" -out "$out" "$@" &
load=$!
pids+=("$load")
wait "$load"
code=$?
echo "summary: $out/summary.json; plot: $out/*.png; logs: $dir"
exit "$code"
