"""knotwalk: a table manager whose controllers assign servers to proxies.

Usage:
  knotwalk serve [--operator FILE]
  knotwalk check
  knotwalk version
  knotwalk (-h | --help)

Commands:
  serve    Run one conductor, as the environment and its configuration say, until SIGTERM.
  check    Read the environment and the configuration, say what they hold, and end.
  version  Print the version.

Options:
  --operator FILE  The operator's own file (HCL): what is switched on beside the platform's configuration.
"""

import os
import sys

from docopt import docopt

from knotwalk import __version__


def main(argv: list[str] | None = None) -> int:
    arguments = docopt(__doc__, argv)
    if arguments["version"]:
        print(f"knotwalk {__version__}")
        return 0
    from knotwalk.net import conductor
    if arguments["check"]:
        return conductor.check(os.environ)
    return conductor.serve(os.environ, arguments["--operator"])


if __name__ == "__main__":
    sys.exit(main())
