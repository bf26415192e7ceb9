#!/bin/sh
# Builds the stand-ins of the cases. They are plain Python and need nothing but its own library: this checks that
# they compile. The project itself is built by the command of the deploy file.
set -e
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
