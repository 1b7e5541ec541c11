"""Agreement between the core machines: one ordered log, stored on disk by a majority (Raft, implemented here).

Owns terms, votes, the log, its snapshots, the membership, and the file in which all of this is stored. It must never
promise on the wire what its disk does not hold yet, never count a disk that came back empty under its former id, never
rely on another machine's clock, and never interpret the commands. Only `store` does I/O; every other module is given
the time by its caller.
"""
