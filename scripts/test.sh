#!/usr/bin/env bash
# Installs, builds, checks format and lint, then runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
bash scripts/lint.sh
ctest --test-dir build --output-on-failure -j 4
