"""The bench adapter: hosts Conductors behind the simulator's wire on standard input and output."""
