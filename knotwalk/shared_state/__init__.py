"""What all machines must know alike of tenants: who runs a keyed operation, and how much each tenant may still send.

Owns the messages of both, the table of claims that a group agrees on, answers kept for repeats, and the buckets from
which allowance is given out. Pure; must never let an operation run twice within its window, and never give out more
than a tenant's limit bears, whatever is lost.
"""
