"""Random walks of the whole system: its real programs on a simulated network, disks and clocks, from one seed."""
