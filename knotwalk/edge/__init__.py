"""The edge program.

Accepts requests from clients, routes, forwards and answers them. Must never change a configuration, a node list or a
lease.
"""
