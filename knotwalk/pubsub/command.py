"""The command `knotwalk subscribe`: prints a table and its changes as text or JSON."""

import json
import signal
import ssl
import sys
from collections.abc import Mapping

from knotwalk.net.loop import Loop
from knotwalk.pubsub import wire
from knotwalk.pubsub.client import Client
from knotwalk.pubsub.subscriber import Subscriber


class OptionError(Exception):
    """An invalid option; the text gives the reason."""


def parse_addresses(texts: list[str]) -> list[tuple[str, int]]:
    addresses = []
    for text in texts:
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise OptionError(f"'{text}' is not an address with a port, such as 127.0.0.1:3100")
        addresses.append((host, int(port)))
    return addresses


def parse_slices(text: str | None) -> list[int] | None:
    """
    >>> parse_slices("3,5-7")
    [3, 5, 6, 7]
    """
    if not text:
        return None
    slices: list[int] = []
    try:
        for part in text.split(","):
            first, dash, last = part.partition("-")
            slices += range(int(first), int(last) + 1) if dash else [int(first)]
    except ValueError:
        raise OptionError(f"--slices {text}: expected a list such as 3,5-7") from None
    if len(slices) > wire.MAX_LISTED_SLICES:
        raise OptionError(f"--slices lists {len(slices)} slices; at most {wire.MAX_LISTED_SLICES} are allowed")
    return slices


def subscribe(options: dict) -> int:
    """Run `knotwalk subscribe` with docopt's options; return the exit code."""
    as_json, once = options["--json"], options["--once"]
    try:
        addresses = parse_addresses(options["ADDRESS"])
        key = None
        if options["--key"]:
            with open(options["--key"], encoding="utf-8") as file:
                key = file.read(4096).strip()
        context = None
        if options["--ca"]:
            context = ssl.create_default_context(cafile=options["--ca"])
            if options["--cert"]:
                context.load_cert_chain(options["--cert"], options["--cert-key"])
        subscriber = Subscriber(
            options["--name"] or "watcher",
            1,
            wanted=parse_slices(options["--slices"]),
            server_zone=options["--zone"],
            key=key,
        )
    except OptionError as error:
        print(f"knotwalk: {error}", file=sys.stderr)
        return 2
    except (OSError, ssl.SSLError) as error:
        print(f"knotwalk: {getattr(error, 'filename', '') or ''} {error.strerror or error}", file=sys.stderr)
        return 2
    loop, exit_codes = Loop(), []

    def print_line(text: str) -> None:
        try:
            print(text, flush=True)
        except BrokenPipeError:
            exit_codes.append(0)

    def on_applied(message: Mapping) -> None:
        delta = wire.decode_delta(message["d"])
        if as_json:
            print_line(
                json.dumps(
                    {
                        "kind": message["t"],
                        "epoch": subscriber.epoch,
                        "version": subscriber.version,
                        "whole": subscriber.next_slice is None,
                        "slices": {p.slice: subscriber.slice_lines.get(p.slice, {}) for p in delta.parts},
                        "shut": delta.withdrawn,
                    }
                )
            )
        else:
            for p in delta.parts:
                lines = ", ".join(f"{k} {w:g}" for k, w in sorted(subscriber.slice_lines.get(p.slice, {}).items()))
                print_line(f"{subscriber.version} slice {p.slice}: {lines or 'no line'}")
            for server, is_withdrawn in delta.withdrawn.items():
                print_line(f"{subscriber.version} server {server}: {'withdrawn' if is_withdrawn else 'open again'}")
        if subscriber.next_slice is None and once:
            exit_codes.append(0)

    def on_event(kind: str, text: str) -> None:
        print(f"knotwalk: {kind}: {text}", file=sys.stderr, flush=True)
        if kind == "refused" and once:
            exit_codes.append(1)

    client = Client(loop, addresses, subscriber, on_applied, on_event, context, options["--server-name"])
    loop.add_signal_handlers((signal.SIGINT, signal.SIGTERM), lambda _: exit_codes.append(0))
    client.start()
    while not exit_codes:
        loop.run_once()
    client.stop()
    return exit_codes[0]
