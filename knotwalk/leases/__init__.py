"""Leases: which node may hold which keys until when.

Owns slices, fences, grants, releases and handovers, and the proof that a conductor may still act. Pure except for the
program that drives it. Must never choose where a slice should go: that is up to placement.
"""
