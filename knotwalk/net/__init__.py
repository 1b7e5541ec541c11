"""The conductor on sockets: one event loop, sans-I/O protocol parsers, and the host of the decisions."""
