#!/usr/bin/env bash
# Builds every stand-in that a case of the review starts. The programs of the deploy file are built before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/play
