"""knotwalk: a table manager whose controllers assign servers to proxies.

Usage:
  knotwalk serve [--operator FILE]
  knotwalk check [--operator FILE]
  knotwalk record (info | verify) [--conductor NAME] [--json] RECORDING...
  knotwalk record export --into FOLDER [--conductor NAME] [--json] RECORDING...
  knotwalk replay [--set SETTING]... [--policy FILE] [--from T] [--to T] [--jobs N] [--html FILE]
                  [--conductor NAME] [--json] RECORDING...
  knotwalk subscribe [--slices LIST] [--zone ZONE] [--name NAME] [--key FILE] [--ca FILE] [--cert FILE]
                     [--cert-key FILE] [--server-name NAME] [--once] [--json] ADDRESS...
  knotwalk version
  knotwalk (-h | --help)

Commands:
  serve    Run one conductor, as the environment and its configuration say, until SIGTERM.
  check    Read the environment and the configuration, say what they hold, and end.
  record   Say what recordings hold, read them whole, or write them as Parquet.
  replay   Replay a recorded day: exactly as it was, or under other settings (docs/guides/replay.md).
  subscribe  Print the table that a publisher has, and its changes.
  version  Print the version.

Options:
  --operator FILE   The operator's own file (HCL): what is switched on beside the platform's configuration.
  --conductor NAME  Whose recording, where there are several.
  --json            Print one JSON object in place of lines.
  --into FOLDER     Where the Parquet files go.
  --set SETTING     NAME=VALUE: a setting, or a tuned value of the policy, to try in place of the recorded one.
  --policy FILE     Another text of the policy to try.
  --from T          Where to begin: seconds or 1h30m from the recording's start, or Unix time.
  --to T            Where to end.
  --jobs N          Processes at once; all cores unless told.
  --slices LIST     Only these slices: 3,5-7.
  --zone ZONE       Only lines to servers of a zone.
  --name NAME       The subscriber's name.
  --key FILE        A file with the subscriber's key.
  --ca FILE         TLS, with the publisher's certificate signed by this.
  --cert FILE       The subscriber's own certificate.
  --cert-key FILE   And its key.
  --server-name NAME  The name that the publisher's certificate is of.
  --once            End when the table is whole.
  --html FILE       Write the what-if as a page.

Exit codes of replay: 0 exact, or a what-if without a broken rule; 3 diverged; 4 a rule broken; 2 unusable.
"""

import os
import signal
import sys

from docopt import docopt

from knotwalk import __version__


def main(argv: list[str] | None = None) -> int:
    arguments = docopt(__doc__, argv)
    if arguments["version"]:
        print(f"knotwalk {__version__}")
        return 0
    if arguments["record"]:
        from knotwalk.record.command import record

        return record(arguments)
    if arguments["replay"]:
        from knotwalk.replay.command import replay

        return replay(arguments)
    if arguments["subscribe"]:
        from knotwalk.pubsub.command import subscribe

        return subscribe(arguments)
    hangups: list[
        int
    ] = []  # SIGHUPs received before the event loop handles them; by default they would end the process
    if arguments["serve"]:
        signal.signal(signal.SIGHUP, lambda number, _: hangups.append(number))
    from knotwalk.net import conductor

    if arguments["check"]:
        return conductor.check(os.environ, arguments["--operator"])
    return conductor.serve(os.environ, arguments["--operator"], hangups)


if __name__ == "__main__":
    sys.exit(main())
