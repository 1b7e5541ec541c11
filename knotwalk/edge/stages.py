"""The stages of a client's request at an edge, and what its stage means once the client has ended its side. Pure.

A client that closes its connection sends what one sends that ends only its side and still reads (a FIN): the two can't
be told apart until something is written. So what may be repeated is broken off, as if the client had closed: to ask
again does no harm. What must not be repeated and has begun is carried to its end and answered, as if it still read.
"""

from enum import Enum

# Seconds after its client has ended its side within which a request may still be offered to a node: enough for one that
# was sent whole with the end right behind it, and under the half second after which work for clients that have left
# counts against the gateway.
OFFER_AFTER_END = 0.4


class Stage(Enum):
    """States of a request."""

    READING = "reading"  # its body has not been read as far as it must be
    READY = "ready"  # may be carried, waits its turn
    RUNNING = "running"  # being carried
    ANSWERED = "answered"  # its answer is known, waits its turn
    WRITING = "writing"  # its answer is passed on as it comes
    DONE = "done"


STAGES = {
    Stage.READING: {Stage.READY, Stage.ANSWERED, Stage.DONE},
    Stage.READY: {Stage.RUNNING, Stage.ANSWERED, Stage.DONE},
    Stage.RUNNING: {Stage.ANSWERED, Stage.DONE},
    Stage.ANSWERED: {Stage.WRITING, Stage.DONE},
    Stage.WRITING: {Stage.DONE},
    Stage.DONE: set(),
}
BEGUN = frozenset({Stage.RUNNING, Stage.ANSWERED, Stage.WRITING})


def outlives_its_client(stage: Stage, repeatable: bool) -> bool:
    """Whether the oldest request of a connection is carried on, and answered, though its client has ended its side.

    >>> outlives_its_client(Stage.RUNNING, False), outlives_its_client(Stage.READY, False)
    (True, False)
    >>> any(outlives_its_client(stage, True) for stage in Stage)
    False
    """
    return not repeatable and stage in BEGUN
