#!/bin/bash
# The stand-ins are Python programs of the standard library: nothing is compiled.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob
for path in sorted(glob.glob("standins/*.py") + glob.glob("[0-9]/*.py")):
    ast.parse(open(path).read(), path)
P
