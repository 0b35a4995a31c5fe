#!/bin/sh
# The stand-ins are Python files of the standard library alone: there is nothing to
# compile. This checks that they and the cases can be imported.
cd "$(dirname "$0")" || exit 1
for file in standins/*.py [1-5]/case.py; do
  PYTHONDONTWRITEBYTECODE=1 python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
PYTHONPATH=../target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c 'import standins.case'
