"""Logging: one JSON object a line on standard error, through absl.logging. Lines are few, as each costs CPU time."""

import json
import logging
import sys
import time

from absl import flags, logging as absl_logging


class JsonLineFormatter(logging.Formatter):
    """Formats a record as a JSON line: time of day in seconds, level, event, and the given fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Format one record as one line of JSON."""
        line = {"at": round(record.created, 3), "level": record.levelname.lower(), "event": record.getMessage()}
        line.update(getattr(record, "fields", ()))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)[-2000:]
        return json.dumps(line, default=str, separators=(",", ":"))


def configure_logging(level: str = "info") -> None:
    """Send absl's log, and warnings of all other loggers, to standard error as JSON lines."""
    flags.FLAGS.mark_as_parsed()  # there are no flags; unparsed ones make absl print a line that is not JSON first
    absl_logging.use_absl_handler()
    absl_logging.use_python_logging(quiet=True)
    handler = absl_logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.python_handler.setFormatter(JsonLineFormatter())
    absl_logging.set_verbosity(level)


def log_info(event: str, **fields: object) -> None:
    """Log a line at level info: a change of state, with the values it is based on."""
    absl_logging.get_absl_logger().info(event, extra={"fields": fields})


def log_warning(event: str, **fields: object) -> None:
    """Log a line at level warning: something that an operator may have to look into."""
    absl_logging.get_absl_logger().warning(event, extra={"fields": fields})


def log_exception(event: str, **fields: object) -> None:
    """Log a line at level error, with the exception that is being handled."""
    absl_logging.get_absl_logger().error(event, extra={"fields": fields}, exc_info=True)


def clock() -> float:
    """The monotonic clock, in seconds; leases rely on no other clock."""
    return time.monotonic()
