#!/bin/sh
# Prepares the stand-ins of the cases. They are Python 3 programs that use the standard library only, so there is
# nothing to compile: this checks that the interpreter is there and that it can parse them. No program of the project
# other than the proxy is used, and that is built by the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - standins.py [1-3]/case.py <<'PY'
import ast, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
    print("checked", path)
PY
