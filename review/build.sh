#!/bin/sh
# The stand-ins are Python: nothing to compile. Checks that they and what they need can be imported after the build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c "import tests.standins.village"
