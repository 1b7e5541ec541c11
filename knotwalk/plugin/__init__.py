"""The tables' judgement inside a client's process: picks, tries, the last table.

Begun: picks alone, and nothing uses them yet. It must never move a slice, try again on its own account what must not
run twice, or pick a server that the table withdraws.
"""
