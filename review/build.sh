#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need Python 3.11 and its standard
# library alone, so that there is nothing to fetch; this compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py ./[1-5]/*.py <<'P'
import sys

assert sys.version_info >= (3, 11), 'Python 3.11 or newer is needed'
for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as file:
        compile(file.read(), path, 'exec')
P
