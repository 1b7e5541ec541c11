"""The command `knotwalk subscribe`: prints a table and its changes, for a person or a script."""

import json
import signal
import ssl
import sys
from collections.abc import Mapping

from knotwalk.net.loop import Loop
from knotwalk.pubsub import wire
from knotwalk.pubsub.client import Client
from knotwalk.pubsub.subscriber import Subscriber


class Bad(Exception):
    """An option that cannot be used; the text says why."""


def addresses_of(texts: list[str]) -> list[tuple[str, int]]:
    out = []
    for text in texts:
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise Bad(f"'{text}' is no address with a port; 127.0.0.1:3100 would be one")
        out.append((host, int(port)))
    return out


def slices_of(text: str | None) -> list[int] | None:
    """
    >>> slices_of("3,5-7")
    [3, 5, 6, 7]
    """
    if not text:
        return None
    out: list[int] = []
    try:
        for part in text.split(","):
            first, dash, last = part.partition("-")
            out += range(int(first), int(last) + 1) if dash else [int(first)]
    except ValueError:
        raise Bad(f"--slices {text}: 3,5-7 would be right") from None
    if len(out) > wire.SLICES_MOST:
        raise Bad(f"--slices names {len(out)}, {wire.SLICES_MOST} at most")
    return out


def subscribe(options: dict) -> int:
    """`knotwalk subscribe`, with docopt's options; the exit code."""
    as_json, once = options["--json"], options["--once"]
    try:
        addresses = addresses_of(options["ADDRESS"])
        key = None
        if options["--key"]:
            with open(options["--key"], encoding="utf-8") as file:
                key = file.read(4096).strip()
        context = None
        if options["--ca"]:
            context = ssl.create_default_context(cafile=options["--ca"])
            if options["--cert"]:
                context.load_cert_chain(options["--cert"], options["--cert-key"])
        held = Subscriber(
            options["--name"] or "watcher", 1, wanted=slices_of(options["--slices"]), of_zone=options["--zone"], key=key
        )
    except Bad as fault:
        print(f"knotwalk: {fault}", file=sys.stderr)
        return 2
    except (OSError, ssl.SSLError) as fault:
        print(f"knotwalk: {getattr(fault, 'filename', '') or ''} {fault.strerror or fault}", file=sys.stderr)
        return 2
    loop, done = Loop(), []

    def say(text: str) -> None:
        try:
            print(text, flush=True)
        except BrokenPipeError:
            done.append(0)

    def changed(told: Mapping) -> None:
        delta = wire.decoded(told["d"])
        if as_json:
            say(
                json.dumps(
                    {
                        "kind": told["t"],
                        "epoch": held.epoch,
                        "version": held.version,
                        "whole": held.place is None,
                        "slices": {p.slice: held.tables.get(p.slice, {}) for p in delta.parts},
                        "shut": delta.shut,
                    }
                )
            )
        else:
            for p in delta.parts:
                lines = ", ".join(f"{k} {w:g}" for k, w in sorted(held.tables.get(p.slice, {}).items()))
                say(f"{held.version} slice {p.slice}: {lines or 'no line'}")
            for server, out in delta.shut.items():
                say(f"{held.version} server {server}: {'withdrawn' if out else 'open again'}")
        if held.place is None and once:
            done.append(0)

    def said(kind: str, text: str) -> None:
        print(f"knotwalk: {kind}: {text}", file=sys.stderr, flush=True)
        if kind == "refused" and once:
            done.append(1)

    client = Client(loop, addresses, held, changed, said, context, options["--server-name"])
    loop.add_signal_handlers((signal.SIGINT, signal.SIGTERM), lambda _: done.append(0))
    client.start()
    while not done:
        loop.run_once()
    client.stop()
    return done[0]
