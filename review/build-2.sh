#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python scripts in review/lib-2, of the standard library alone: nothing has to
# be compiled. This checks that the interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/lib-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py <<'CHECK'
import sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
