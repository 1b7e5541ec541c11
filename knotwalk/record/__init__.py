"""Recordings of what a conductor met and ordered.

Owns their format, the way from the loop to the writer's process, and the reader. It must never decide for the module,
wait for a disk on the loop, or claim to hold what it does not: what is missing is said by number and time.
"""
