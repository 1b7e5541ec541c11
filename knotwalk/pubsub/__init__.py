"""Tables by publish and subscribe: a snapshot, then changes, on one channel, under the caps that the relay has too.

Owns versions, cursors, the order in which subscribers are served, the wire and both ends of it. It must never decide
which server a table names, send past a cap, or leave a subscriber with half a slice.
"""
