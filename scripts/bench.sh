#!/usr/bin/env bash
# Runs benchmarks: bench.sh [path|control|policy|all]. Results go to stdout as
# JSON, the bounds of bench/bounds.json to stderr; exits 1 when one is violated.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -B scripts/bench.py "$@"
