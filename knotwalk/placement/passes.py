"""The paper's ReassignVS: strip nodes above a threshold of their heaviest shares, and place these where they fit best.

Source: Surana, Godfrey, Lakshminarayanan, Karp, Stoica, "Load Balancing in Dynamic Structured Peer-to-Peer Systems",
section 4. A node is anything with `load` and `capacity`, a share (the paper's virtual server) is anything. Loads are
in the caller's unit and are updated here. Deterministic: ties are broken by `rank`, then by the order of nodes.
"""

from collections.abc import Callable, Iterable


def utilization(node, load: float = 0.0) -> float:
    """A node's utilization with a further load."""
    return (node.load + load) / max(node.capacity, 1e-9)


def shift_load(load: float, share, node, target) -> None:
    node.load -= load
    target.load += load


def strip(nodes: Iterable, shares_of: Callable, threshold: float, rank: Callable = lambda share: share,
          can_move: Callable = lambda load, share, node: True) -> list[tuple]:
    """The pool: (load, share, node) of what nodes above the threshold shed, heaviest first. Their loads fall.

    `shares_of(node)`: its (load, share) pairs. One that `can_move` rejects is skipped, and the next is tried."""
    pool, heaviest = [], lambda row: (-row[0], rank(row[1]))
    for node in nodes:
        for load, share in sorted(shares_of(node), key=heaviest):
            if utilization(node) <= threshold:
                break
            if can_move(load, share, node):
                node.load -= load
                pool.append((load, share, node))
    return sorted(pool, key=heaviest)


def place(pool: Iterable[tuple], targets: Callable, score: Callable = utilization, move: Callable = shift_load,
          max_moves: float = float("inf")) -> list[tuple]:
    """Move each of the pool to where `score(target, load)` is least; the moves made, as (share, node, target).

    `targets(share, node)`: where it may go. What would overfill its target or be no better off there, and what exceeds
    `max_moves`, goes back to its node. `move(load, share, node, target)` has to shift the load."""
    moves = []
    for load, share, node in pool:
        node.load += load
        target = min(targets(share, node), key=lambda x: score(x, load), default=None)
        if len(moves) + 1 <= max_moves and target is not None and score(target, load) <= min(1.0, utilization(node)):
            move(load, share, node, target)
            moves.append((share, node, target))
    return moves
