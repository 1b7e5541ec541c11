"""The control plane's program, which runs on core machines.

Calls of operators, consensus, leases, owners of slices, and sending all of it to edges. Wires the packages together
and decides nothing itself; must never carry a client's request.
"""
