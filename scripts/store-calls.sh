#!/usr/bin/env bash
# Adds up the calls to the store by call and kind of object from the logs of a play: store-calls.sh LOG
set -euo pipefail
grep -h '"message":"store_calls"' "$1" | grep -o '"calls":{[^}]*}' | grep -o '"[a-z_]* [a-z]*":[0-9]*' | tr -d '"' |
	awk -F: '{ n[$1] += $2; all += $2 } END { for (k in n) printf "%7d %s\n", n[k], k; printf "%7d all\n", all }' | sort -rn
