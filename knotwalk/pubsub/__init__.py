"""Publishes the table to subscribers: a snapshot, then changes, on one stream, within the same caps as the relay.

Owns versions, cursors, the order in which subscribers are served, the wire format, and both ends of it. Does not decide
which server a table names. No cap is exceeded, and no subscriber is left with an incomplete slice.
"""
