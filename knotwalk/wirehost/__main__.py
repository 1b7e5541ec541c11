"""Entry point: python -m knotwalk.wirehost."""

import sys

from knotwalk.wirehost.host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
