"""Recordings of what a conductor received and ordered: their format, recorder, writer process, reader and export.

Recording must never influence decisions or block the event loop on a disk. A recording must never claim to hold what it
does not: whatever is missing is reported by frame number and time.
"""
