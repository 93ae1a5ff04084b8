#!/usr/bin/env bash
# Scores deployments with the users' bench and reports which days broke a rule or fell by more than the noise.
#   BENCH=PROGRAM SITES=FOLDER scripts/regression.sh [-s "SITE ..."] [-w WHY] [-j JOBS]
# BENCH is the bench's program and SITES the folder of the users' pages; a SITE is the path of a site file in it, without
# its ending.
set -euo pipefail
cd "$(dirname "$0")/.."
sites="further/mpozp-zilina grown/velocar-cluj-grown grown/svorka-sit-grown further-grown/mpozp-zilina-grown large/velocar-cluj-large"
why="Regression run"
jobs=4
while getopts "s:w:j:" option; do
	case "$option" in
	s) sites=$OPTARG ;;
	w) why=$OPTARG ;;
	j) jobs=$OPTARG ;;
	*) sed -n '2,5p' "$0" >&2; exit 2 ;;
	esac
done
: "${BENCH:?is the path of the program of the bench}" "${SITES:?is the folder of the site files}"
names=()
for site in $sites; do
	"$BENCH" score "$SITES/$site.toml" --jobs "$jobs" --why "$why" || true # What failed stands in the journal.
	names+=("$(basename "$site")")
done
go run ./cmd/lsload scores "${names[@]}"
