#!/usr/bin/env bash
# Starts 3 control VMs, 3 gateways and the fake servers on loopback, sends
# requests of both deployments and checks every answer. --keep leaves the
# processes running.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/citronlane ] && [ -x build/tests/citronlane_fakes ] ||
  bash scripts/setup.sh
exec python3 -B scripts/demo.py "$@"
