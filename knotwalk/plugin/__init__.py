"""Client-side load balancing: server selection from the tables, inside a client's process.

Selection alone is implemented so far, and nothing uses it yet. It must never move a slice, retry by itself what must
not run twice, or pick a server that the table withdraws.
"""
