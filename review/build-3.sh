#!/bin/sh
# Checks the stand-ins of the cases from 11 on. They need no build: they are
# written in Python and use its standard library only.
cd "$(dirname "$0")" || exit 1
for file in standin-3/lab.py [1-9][0-9]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
        "$file" || exit 1
done
