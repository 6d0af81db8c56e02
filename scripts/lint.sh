#!/usr/bin/env bash
# Checks format and lint of all hand-written sources. Needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${CITRONLANE_BUILD_DIR:-build}"

mapfile -t all < <(git ls-files '*.h' '*.cc' | grep -v '^proto/')
clang-format --dry-run --Werror "${all[@]}"

mapfile -t sources < <(git ls-files '*.cc' | grep -v '^proto/')
printf '%s\0' "${sources[@]}" |
  xargs -0 -n 2 -P "$(nproc)" clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: ${#all[@]} files clean"
