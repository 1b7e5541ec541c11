"""The edge program.

Takes requests from clients, routes, forwards and answers them. Must never change a configuration, a list or a lease.
"""
