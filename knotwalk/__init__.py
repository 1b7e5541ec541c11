"""knotwalk: a table manager whose controllers assign servers to proxies."""
