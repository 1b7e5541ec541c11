"""The control plane's program, which core machines run.

Control calls, agreement, leases, owner lines, and their spreading to edges. Wires the packages together and decides
nothing itself; must never carry a client's request.
"""
