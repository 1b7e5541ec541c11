"""The simulator adapter: hosts conductors behind the simulator's wire protocol on standard input and output."""
