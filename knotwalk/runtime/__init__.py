"""What every program of the system stands on.

Owns the settings file and its bounds, units of time, JSON-line logs, errors that carry step and peer, the way to
call a peer and to be called. Must never decide anything about traffic, nodes, keys or configurations.
"""
