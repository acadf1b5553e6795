#!/bin/sh
# Builds what the scripts start beside the project's own programs. The stand-ins are Python 3 with its standard
# library alone: there is nothing to compile, they are only checked to be readable by the interpreter.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is needed for the stand-ins" >&2; exit 1; }
for f in stand/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
