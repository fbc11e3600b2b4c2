#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are Python programs that need nothing but its standard library.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - *.py <<'PYTHON'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
