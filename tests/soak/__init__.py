"""Soak runs: the started programs on loopback under series of signals, restarts and changes that overlap, by a seed.

`plan` draws what happens and when (pure). `ledger` notes what clients, nodes and the driver saw, `judge` says what of
it must not be (both pure). `clients` and `nodes` are the stand-ins, `drive` starts the programs and does what is due.
`python -m tests.soak --help` runs seeds and prints a line each. Times are seconds on the steady clock.
"""
