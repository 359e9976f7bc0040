#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need Python's standard library
# only, so it compiles them to show that they can be read. The fronts are
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q ./*.py [0-9]*/
