#!/usr/bin/env bash
# Checks that the scripts of the second review (review/6 to review/10) can run.
# Their stand-ins are review/rig/rig.py, in Python 3 without further modules, so
# there is nothing to compile. Python 3 comes with libglib2.0-dev, a package of
# deploy/system.toml. The program itself is built by the build of that file.
set -eu
cd "$(dirname "$0")"
python=/usr/bin/python3
[ -x "$python" ] || python=$(command -v python3)
for source in rig/rig.py [6-9]/*.py 10/*.py; do
  [ -e "$source" ] || continue
  "$python" -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
[ -x ../target/comfreyshift ] || echo "target/comfreyshift is missing: run the build of deploy/system.toml first"
