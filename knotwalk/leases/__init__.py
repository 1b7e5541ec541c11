"""leases: who may hold which keys until when (a peer is leased its piece of ground, and gives it back).

Owns slices, fences, grants, releases and handovers, and the proof that a conductor may still act. Pure but for the
caller beside it; must never choose where a slice should go: that is placement's.
"""
