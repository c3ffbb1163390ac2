#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python: the project's own, in src/,
# and small additions in the folders of the cases. Nothing has to be compiled or
# fetched; this checks that all of them can be imported after the build of the deploy
# file.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:src python3 - <<'EOF'
import sys

sys.path.insert(0, "review/lib2")
import h11, trio, msgspec  # noqa: E401
import acaciapier_standins.platform.platform
import deployment

print("stand-ins are ready")
EOF
