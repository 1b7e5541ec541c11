"""knotwalk: a table manager whose controllers assign servers to proxies."""

__version__ = "0.2.0"
