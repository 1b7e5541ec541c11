"""Logs: one JSON object a line on standard error, through absl.logging. Few lines: each costs processor time."""

import json
import logging
import sys
import time

from absl import flags, logging as absl_logging


class JsonLineFormatter(logging.Formatter):
    """A record as a JSON line: time of day in seconds, level, event, and the fields given."""

    def format(self, record: logging.LogRecord) -> str:
        """One record as one line of JSON."""
        line = {"at": round(record.created, 3), "level": record.levelname.lower(), "event": record.getMessage()}
        line.update(getattr(record, "fields", ()))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)[-2000:]
        return json.dumps(line, default=str, separators=(",", ":"))


def configure_logging(level: str = "info") -> None:
    """Route absl's log to JSON lines; everything else's warnings, too."""
    flags.FLAGS.mark_as_parsed()  # there are none; else absl begins each log with a line that is no JSON
    absl_logging.use_absl_handler()
    absl_logging.use_python_logging(quiet=True)
    handler = absl_logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.python_handler.setFormatter(JsonLineFormatter())
    absl_logging.set_verbosity(level)


def log_info(event: str, **fields: object) -> None:
    """One line at level info: a change of state, with the figures it rests on."""
    absl_logging.get_absl_logger().info(event, extra={"fields": fields})


def log_warning(event: str, **fields: object) -> None:
    """One line at level warning: something that an operator may have to look at."""
    absl_logging.get_absl_logger().warning(event, extra={"fields": fields})


def log_exception(event: str, **fields: object) -> None:
    """One line at level error, with the exception now being handled."""
    absl_logging.get_absl_logger().error(event, extra={"fields": fields}, exc_info=True)


def clock() -> float:
    """The steady clock, in seconds; only this one bears leases."""
    return time.monotonic()
