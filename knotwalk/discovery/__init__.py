"""Discovery: what is known of nodes.

Owns the platform's list as it was read, drains and ends, what edges met with nodes, and the cluster view that the core
spreads to the edges. Must never choose a node for a request or a place for keys.
"""
