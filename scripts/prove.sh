#!/usr/bin/env bash
# Runs the proof of each line of the brief's "What must always hold" and "What
# fails" and prints PROVED or UNPROVED for each. Needs a build; exits 1 when a
# proof failed. --check only looks whether every named test is there.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -B scripts/prove.py "$@"
