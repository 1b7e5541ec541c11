"""The real conductor on sockets: one loop, protocol machines fed bytes, and the hosting of the module."""
