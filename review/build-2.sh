#!/usr/bin/env bash
# Checks that the stand-ins of the second review compile and that their imports are there.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review/peers").glob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
import knapweedshed.programs.host  # noqa: F401, E402 - needs target/deps
import review.peers.deployment  # noqa: F401, E402
PY
echo "stand-ins ready"
