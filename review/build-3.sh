#!/bin/sh
# Builds what the scripts of the third review start besides the gateway: their stand-ins
# are Python sources of the standard library, which are compiled to check them.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first"; exit 2; }
python3 - <<'P'
import pathlib
import sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sorted(pathlib.Path("review").glob("lib3/*.py")) + [
    path for n in range(11, 16) for path in sorted(pathlib.Path(f"review/{n}").glob("*.py"))
]:
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
P
