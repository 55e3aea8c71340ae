#!/bin/sh
# Builds what the cases need. The stand-ins are Python of the standard library alone: checks that they compile.
set -e
cd "$(dirname "$0")"
for file in standin/*.py ?/*.py; do
    ../.venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
