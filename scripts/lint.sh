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
# The provider's names are allowed in platform/ and deploy/ only.
if git grep -nIiF -f platform/provider-words.txt -- src include proto/*.proto; then
  echo "lint: names of the provider outside platform/ and deploy/"
  exit 1
fi
lines=$(cat platform/*.cc platform/*.h | wc -l)
if [ "$lines" -gt 1500 ]; then
  echo "lint: platform/ has $lines lines; what decides belongs in the product"
  exit 1
fi
echo "lint: ${#all[@]} files clean"
