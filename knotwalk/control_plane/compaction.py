"""When the replicated state is put down whole, so that neither the log nor a start that replays it grows long. Pure."""

from zlib import crc32

ENTRIES = 4000  # entries after which it is due whatever they cost; some MB of log at most
DISK_PART = 0.25  # of the disk: past it, too, since few large entries fill a disk, and a full one takes no more
# Items of configurations gone through by the changes since: each change goes through all that there are. 50 changes to
# 12,000 routes, of 44 ms each when replayed, and then 3 MB are written.
WORK = 600_000

PHASES = 1000  # of which a machine takes one by its identity


class Compaction:
    """Counts what was applied since the state was last put down whole.

    The first time comes earlier, by a part that differs from machine to machine: members apply the same entries at the
    same time, and three disks that write some MB at once would hold up commits that two of three can bear alone."""

    def __init__(self, disk_mb: float, me: str) -> None:
        self.most_bytes = disk_mb * 1e6 * DISK_PART
        begun = crc32(me.encode()) % PHASES / PHASES
        self.entries = int(begun * ENTRIES)
        self.bytes, self.work = int(begun * self.most_bytes), int(begun * WORK)

    def due(self, size: int, work: int) -> bool:
        """One more entry was applied, of `size` bytes, which went through `work` items. Whether the state is to be put
        down now; counting then begins anew."""
        self.entries += 1
        self.bytes += size
        self.work += work
        if self.entries < ENTRIES and self.bytes < self.most_bytes and self.work < WORK:
            return False
        self.entries = self.bytes = self.work = 0
        return True
