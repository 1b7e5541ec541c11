"""Configurations: what operators send and edges route by.

Owns the objects of a configuration, the checks on it, its versions and patches, and the index from host and path to a
route. Pure: must never open a socket or a file, or ask for the time.
"""
