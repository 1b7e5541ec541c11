"""Whole walks of the system under one seeded scheduler: its real programs, on a wire, disks and clocks of ours."""
