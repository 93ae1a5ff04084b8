#!/usr/bin/env bash
# Runs scenario files one after another, each against a new fleet, and prints one line for each. Usage:
#   demo/experiment.sh [-seed N] scenarios/kill.yaml ...
# Results, logs and traces are in out/experiments/<scenario>.
set -u
cd "$(dirname "$0")/.."
options=()
while [[ ${1:-} == -* ]]; do
	options+=("$1" "$2")
	shift 2
done
failed=0
for file in "$@"; do
	name=$(basename "$file" .yaml)
	out=out/experiments/$name
	mkdir -p "$out"
	SCENARIO=$file OUT=$out bash demo/run.sh "${options[@]}" -trace "$out/trace.jsonl" >"$out/result.txt" 2>&1
	code=$?
	((code)) && failed=1
	printf '%-24s exit %d  %s\n' "$name" "$code" "$(grep -E '^[0-9]+ requests:' "$out/result.txt")"
	grep -E ' BROKEN$|^fault not' "$out/result.txt" | sed 's/^/    /'
done
exit "$failed"
