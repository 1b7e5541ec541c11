"""When to write the replicated state as a snapshot, which bounds the log and the replay at a start. Pure."""

from zlib import crc32

MAX_ENTRIES = 4000  # a snapshot is due after this many entries, whatever their cost; some MB of log at most
MAX_DISK_FRACTION = 0.25  # also when entries fill this part of the disk: few large ones do, and a full disk takes none
# Also when the changes since have gone through this many items: each change of the configuration goes through all. This
# is reached by 50 changes of 12,000 routes, each of which takes 44 ms to replay; the snapshot then has 3 MB.
MAX_REPLAY_ITEMS = 600_000

PHASE_COUNT = 1000  # a machine's identity selects one of these phases


class Compaction:
    """Counts what was applied since the last snapshot.

    The first snapshot comes earlier, by a phase that differs between machines: members apply the same entries at the
    same time, and three disks that write some MB at once would delay commits, which two of three can carry alone."""

    def __init__(self, disk_mb: float, me: str) -> None:
        self.max_bytes = disk_mb * 1e6 * MAX_DISK_FRACTION
        phase = crc32(me.encode()) % PHASE_COUNT / PHASE_COUNT
        self.entries = int(phase * MAX_ENTRIES)
        self.bytes, self.replay_items = int(phase * self.max_bytes), int(phase * MAX_REPLAY_ITEMS)

    def should_compact(self, size: int, replay_items: int) -> bool:
        """Record one more applied entry, of `size` bytes, which went through `replay_items` items. Returns whether a
        snapshot is due; the counts then begin anew."""
        self.entries += 1
        self.bytes += size
        self.replay_items += replay_items
        if self.entries < MAX_ENTRIES and self.bytes < self.max_bytes and self.replay_items < MAX_REPLAY_ITEMS:
            return False
        self.entries = self.bytes = self.replay_items = 0
        return True
