"""How a machine's descriptors are shared between clients' connections and those to nodes. Pure.

Edges may have thousands of descriptors or a dozen. A request under way takes one of each kind, an idle connection of
either kind one for nothing; so where they are few, idle ones go first.
"""

from collections.abc import Collection
from dataclasses import dataclass

# Of a machine's descriptors, those set aside for files (the deployment's page).
FILES = 200
# What a program holds itself: the loop's three, two ports, a question for readiness, calls to a core and to the next.
OWN = 8
# Beyond it, where limits or operations are asked for: the lanes of these asks to a core.
ASK_LANES = 2
ASKED_FOR = frozenset({"keys", "quota"})  # the parts of the rules that want asks
# Of the rest, what clients' connections may take: over half, since one whose answer was written lies for a trip more.
CLIENT_PART = 0.6
# Of the clients' part, how many may lie idle: past it an answer ends its connection, before others are kept waiting.
KEPT_PART = 0.5
# Requests under way that any machine must bear.
LEAST = 4


@dataclass(frozen=True)
class ConnectionBudget:
    """Connections at most: of `clients`, and to `nodes`; `kept`: with more clients than that none is kept for later."""

    clients: int
    kept: int
    nodes: int


def shared(descriptors: int, contracts: Collection[str] = ()) -> ConnectionBudget:
    """The shares of a machine with so many descriptors, where these parts of the rules are in force.

    >>> shared(4100), shared(220)
    (ConnectionBudget(clients=2335, kept=1167, nodes=1557), ConnectionBudget(clients=7, kept=3, nodes=5))
    >>> shared(220, ["base", "keys"])
    ConnectionBudget(clients=6, kept=3, nodes=4)
    """
    lanes = ASK_LANES if ASKED_FOR.intersection(contracts) else 0
    free = max(2 * LEAST, descriptors - FILES - OWN - lanes)
    clients = int(free * CLIENT_PART)
    return ConnectionBudget(clients, int(clients * KEPT_PART), free - clients)
