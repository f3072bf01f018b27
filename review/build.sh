#!/usr/bin/env bash
# The stand-ins are Python programs that use the standard library only; this
# checks that they can be started. The proxies come from the build of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in review/lib/*.py review/[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/src/carawayhaven
