#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles them and the project's own that
# they use. Run it after the build of deploy/system.toml, which installs the
# packages that both need into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib review/[1-5] src/apricottrestle_standins
PYTHONPATH=target/deps:src:review/lib python3 -c "import review_fleet"
