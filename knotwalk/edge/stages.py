"""The stages of a client's request at an edge, and whether a request goes on once the client has half-closed. Pure.

A client that closes its connection sends a FIN, and so does one that only shuts down its sending side and still reads:
the two can't be distinguished until something is written. So an idempotent request is aborted, as if the client had
closed, since sending it again does no harm. A non-idempotent request that was started is completed and answered, as if
the client still read.
"""

from enum import Enum

# Time after the client's half-close within which a request may still be offered to a node: enough for a request that
# was sent completely with the FIN right behind it, and less than the half second after which work for clients that are
# gone counts against the gateway.
OFFER_AFTER_HALF_CLOSE_S = 0.4


class Stage(Enum):
    """States of a request."""

    READING = "reading"  # its body has not been read far enough to be forwarded
    READY = "ready"  # may be forwarded, waits for its turn
    RUNNING = "running"  # being forwarded
    ANSWERED = "answered"  # its answer is known and waits for its turn
    WRITING = "writing"  # its answer is streamed to the client
    DONE = "done"


STAGE_TRANSITIONS = {
    Stage.READING: {Stage.READY, Stage.ANSWERED, Stage.DONE},
    Stage.READY: {Stage.RUNNING, Stage.ANSWERED, Stage.DONE},
    Stage.RUNNING: {Stage.ANSWERED, Stage.DONE},
    Stage.ANSWERED: {Stage.WRITING, Stage.DONE},
    Stage.WRITING: {Stage.DONE},
    Stage.DONE: set(),
}
STARTED_STAGES = frozenset({Stage.RUNNING, Stage.ANSWERED, Stage.WRITING})


def continues_after_half_close(stage: Stage, idempotent: bool) -> bool:
    """Whether the oldest request of a connection goes on and is answered after its client has half-closed.

    >>> continues_after_half_close(Stage.RUNNING, False), continues_after_half_close(Stage.READY, False)
    (True, False)
    >>> any(continues_after_half_close(stage, True) for stage in Stage)
    False
    """
    return not idempotent and stage in STARTED_STAGES
