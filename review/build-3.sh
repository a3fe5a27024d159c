#!/bin/sh
# Compiles the stand-ins and scripts of the cases 11 to 15; they use only the
# standard library.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-3 11 12 13 14 15
