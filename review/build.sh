#!/usr/bin/env bash
# Prepares what the scripts of the cases start. The stand-ins are Python and
# need no build; this checks that the interpreter takes them. The daemon under
# test, target/rattangap-edge, comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - review/standin/*.py review/*/*.py <<'EOF'
import ast
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    with open(path, encoding="ascii") as source:
        ast.parse(source.read(), path)
EOF
