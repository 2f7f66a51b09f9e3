#!/usr/bin/env bash
# The stand-ins of the cases are scripts in common/: nothing to compile, but
# each of them must be readable by the python3 that is installed.
set -euo pipefail
cd "$(dirname "$(realpath "$0")")"
python3 - common/*.py [0-9]/*.py << 'PY'
import sys
for path in sys.argv[1:]:
    with open(path) as f:
        compile(f.read(), path, "exec")
    print("ok:", path)
PY
