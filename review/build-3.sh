#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs and need no build; this checks that they can be
# read and that the interpreter is there.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in deployment3.py 1[1-5]/case.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
