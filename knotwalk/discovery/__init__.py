"""Discovery: what is known about the nodes.

Contains the platform's node list as it was read, draining, failures that edges saw at nodes, and the cluster view that
the cores distribute to the edges. Must not choose a node for a request or assign keys.
"""
