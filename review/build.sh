#!/bin/sh
# The stand-ins of the cases are Python programs without dependencies, in deployment.py and in the
# folders of the cases. Checks that they compile.
set -e
cd "$(dirname "$0")"
for file in *.py [1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
    { echo "review: Python 3.11 or later is needed" >&2; exit 1; }
