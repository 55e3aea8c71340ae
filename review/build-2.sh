#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python modules and use the interpreter that the
# build of the deploy file has set up, so nothing is compiled; this checks that all of them load.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/standins-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
  [ -e "$file" ] || continue
  .venv/bin/python -c 'import sys; compile(open(sys.argv[1], "rb").read(), sys.argv[1], "exec")' "$file" || exit 2
done
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c 'import sys; sys.path.insert(0, "review/standins-2"); import fleet'
