#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the clients read at once.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/limpetpond-gateway ] && command -v python3 >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 run.py
