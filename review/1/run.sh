#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lsentry ] || [ ! -x review/bin/play ]; then
	echo "build target/lsentry and review/bin/play first" >&2
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/play -case refused -trouble=$trouble -dir review/1
