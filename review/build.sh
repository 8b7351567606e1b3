#!/bin/bash
# Builds what the scripts in this folder start. The stand-ins are Python (standard library only), so there is
# nothing to compile: this checks that they parse and that the build of the deploy file has been made.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast, glob
for path in glob.glob("review/**/*.py", recursive=True):
    ast.parse(open(path).read(), path)
PY
test -x target/release/birchswitch || { echo "run the build line of deploy/balancer.toml first" >&2; exit 1; }
