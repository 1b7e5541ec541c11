"""Placement of slices on nodes.

Owns capacity, utilization, k_p and k_e, stripping and placing. Pure; must never grant keys or call anyone.
"""
