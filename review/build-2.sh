#!/usr/bin/env bash
# Builds the stand-ins of the scripts in 6 to 10. They need the standard library
# only, so that this compiles them and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib2 [0-9]*/case.py
