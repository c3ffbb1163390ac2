#!/bin/sh
# Checks the stand-ins of the review, which need only Python's standard library, and that
# the build of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/lib/*.py review/[0-9]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'PY'
import sys
path = sys.argv[1]
compile(open(path, encoding="utf-8").read(), path, "exec")
PY
done
