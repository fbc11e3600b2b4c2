#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They are Python programs without a dependency, so that there is nothing to
# compile; this checks that the interpreter is there and reads them.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "stand-ins checked"
