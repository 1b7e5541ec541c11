"""Shared infrastructure of all programs of the system.

Contains the settings file and its bounds, time units, JSON-line logs, errors that name a step and a peer, and the HTTP
client and server for calls between peers. Must not make any decision about traffic, nodes, keys or configurations.
"""
