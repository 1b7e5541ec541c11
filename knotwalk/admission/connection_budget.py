"""How a machine's file descriptors are shared between client connections and connections to nodes. Pure.

Edges may have thousands of descriptors or a dozen. A request in progress takes one of each kind, while an idle
connection of either kind holds one without use; so where descriptors are few, idle connections are closed first.
"""

from collections.abc import Collection
from dataclasses import dataclass

# Descriptors reserved for files, as the deployment's documentation requires.
RESERVED_FOR_FILES = 200
# Descriptors of the program itself: three of the event loop, two listening ports, one readiness probe, and connections
# to a core and to its successor.
OWN_DESCRIPTORS = 8
# Connections to a core for admission requests, where limits or operations require them.
ASK_LANES = 2
ASK_CONTRACTS = frozenset({"keys", "quota"})  # contracts that require admission requests
# Part of the remaining descriptors for client connections: over half, since one whose answer was written stays open for
# another round trip.
CLIENTS_PART = 0.6
# Part of the client connections that may stay open when idle: beyond it an answer closes its connection, before other
# clients have to wait.
KEEP_ALIVE_PART = 0.5
# Concurrent requests that any machine must be able to serve.
MIN_CONCURRENT = 4


@dataclass(frozen=True)
class ConnectionBudget:
    """Maximum connections of `clients` and to `nodes`; above `keep_alive` clients an answer closes its connection."""

    clients: int
    keep_alive: int
    nodes: int


def share_descriptors(descriptors: int, contracts: Collection[str] = ()) -> ConnectionBudget:
    """The shares of a machine with this many descriptors, where these contracts are in force.

    >>> share_descriptors(4100), share_descriptors(220)
    (ConnectionBudget(clients=2335, keep_alive=1167, nodes=1557), ConnectionBudget(clients=7, keep_alive=3, nodes=5))
    >>> share_descriptors(220, ["base", "keys"])
    ConnectionBudget(clients=6, keep_alive=3, nodes=4)
    """
    lanes = ASK_LANES if ASK_CONTRACTS.intersection(contracts) else 0
    free = max(2 * MIN_CONCURRENT, descriptors - RESERVED_FOR_FILES - OWN_DESCRIPTORS - lanes)
    clients = int(free * CLIENTS_PART)
    return ConnectionBudget(clients, int(clients * KEEP_ALIVE_PART), free - clients)
