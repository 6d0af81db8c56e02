#!/usr/bin/env bash
# Runs the tests of each guarantee of the system and prints PROVED or UNPROVED
# for each. Needs a build; exits 1 when a guarantee is not proved. --check only
# checks that all named tests exist.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -B scripts/prove.py "$@"
