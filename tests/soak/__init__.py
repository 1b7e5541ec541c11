"""Soak runs: real processes on loopback under overlapping series of signals, restarts and changes, drawn from a seed.

`plan` draws the schedule. `ledger` holds what clients, nodes and the driver observed; `judge` and `shared_judge` report
violations in it. None of these does I/O. `clients` and `nodes` are stand-ins, `drive` starts the processes and runs the
schedule. `python -m tests.soak --seeds 1-50` prints a line per seed. Times are seconds on the monotonic clock.
"""
