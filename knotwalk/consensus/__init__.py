"""Agreement between the core machines: one ordered log that a majority holds on disk (Raft, written here).

Owns terms, votes, the log, its snapshots, who is a member, and the file in which all this lasts. It must never promise
on the wire what its disk does not hold yet, never count a disk that came back empty under its old id, never judge by
another machine's clock, and never know what the commands mean. Only `store` does I/O; the rest is handed its times.
"""
