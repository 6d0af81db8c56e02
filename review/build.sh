#!/usr/bin/env bash
# The cases' stand-ins are Python programs of the standard library and need no
# build. Checks that they can be read and that the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/*.py review/*/*.py tests/process/platform_*.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
test -x target/citronlane
