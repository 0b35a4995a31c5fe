#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They are Python without dependencies, so
# building them means compiling them once.
cd "$(dirname "$0")" || exit 1
python3 -m compileall -q fleet3 11 12 13 14 15
