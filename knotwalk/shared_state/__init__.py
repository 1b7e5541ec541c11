"""State of tenants that all machines share: who runs a keyed operation, and how much each tenant may still send.

Contains the messages for both, the table of claims that a group agrees on, the answers stored for repeated requests,
and the token buckets of tenants' limits. Pure. Whatever messages or machines are lost, no operation may run twice
within its window, and no tenant may be granted more than its limit allows.
"""
