"""Configurations: what operators send and edges route by.

Contains the objects of a configuration, their validation, versions and patches, and the index from host and path to a
route. Pure: must not open a socket or a file, or read a clock.
"""
