"""The paper's ReassignVS: strip nodes above a threshold of their heaviest shares, and place these where they fit best.

Source: Surana, Godfrey, Lakshminarayanan, Karp, Stoica, "Load Balancing in Dynamic Structured Peer-to-Peer Systems",
section 4. A node is anything with `load` and `capacity`, a share (the paper's virtual server) is anything. Loads are
the caller's own figures, kept up here. Nothing is drawn by chance: ties go by `rank`, then by the order of nodes.
"""

from collections.abc import Callable, Iterable


def fit(node, load: float = 0.0) -> float:
    """A node's utilization with a further load."""
    return (node.load + load) / max(node.capacity, 1e-9)


def carry(load: float, share, node, target) -> None:
    node.load -= load
    target.load += load


def strip(nodes: Iterable, held: Callable, threshold: float, rank: Callable = lambda share: share,
          may_go: Callable = lambda load, share, node: True) -> list[tuple]:
    """The pool: (load, share, node) of what nodes above the threshold shed, heaviest first. Their loads fall.

    `held(node)`: its (load, share) pairs. One that may not go is passed over, and the next is tried."""
    pool, heaviest = [], lambda row: (-row[0], rank(row[1]))
    for node in nodes:
        for load, share in sorted(held(node), key=heaviest):
            if fit(node) <= threshold:
                break
            if may_go(load, share, node):
                node.load -= load
                pool.append((load, share, node))
    return sorted(pool, key=heaviest)


def place(pool: Iterable[tuple], targets: Callable, room: Callable = fit, move: Callable = carry,
          most: float = float("inf")) -> list[tuple]:
    """Move each of the pool to where `room(target, load)` is least; the moves made, as (share, node, target).

    `targets(share, node)`: where it may go. What would overfill its target or be no better off there, and what is past
    `most` moves, goes back to its node. `move(load, share, node, target)` has to shift the load."""
    moves = []
    for load, share, node in pool:
        node.load += load
        target = min(targets(share, node), key=lambda x: room(x, load), default=None)
        if len(moves) + 1 <= most and target is not None and room(target, load) <= min(1.0, fit(node)):
            move(load, share, node, target)
            moves.append((share, node, target))
    return moves
