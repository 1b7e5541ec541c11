"""The paper's strip and place, on plain nodes."""

from dataclasses import dataclass

from knotwalk.placement.passes import place, strip, utilization


@dataclass(eq=False)
class Node:
    load: float
    capacity: float = 10.0


def shares_of(node):
    return SHARES.get(node, ())


SHARES: dict = {}


def fleet(*loads):
    """Nodes with shares of these loads; the shares are numbered consecutively."""
    SHARES.clear()
    nodes = [Node(sum(of)) for of in loads]
    numbers = iter(range(100))
    SHARES.update((node, [(load, next(numbers)) for load in of]) for node, of in zip(nodes, loads))
    return nodes


def test_the_heaviest_leave_until_a_node_is_at_the_threshold():
    a, b = fleet([2, 5, 4], [3, 3])
    assert strip([a, b], shares_of, 0.6) == [(5, 1, a)]
    assert (a.load, b.load) == (6, 6)


def test_shares_that_cannot_move_are_skipped_and_the_pool_is_ordered_over_all_nodes():
    a, b = fleet([6, 2, 2], [5, 5])
    assert strip([a, b], shares_of, 0.1, rank=lambda share: -share, can_move=lambda load, share, node: share != 0) == [
        (5, 4, b),
        (5, 3, b),
        (2, 2, a),
        (2, 1, a),
    ]


def test_each_share_goes_where_it_fits_best_and_counts_there_at_once():
    a, b, c = fleet([4, 4, 4], [2], [1])
    pool = strip([a, b, c], shares_of, 0.3)
    # The first share is no better off elsewhere while the others are in the pool, so it goes back.
    assert place(pool, lambda share, node: (x for x in (a, b, c) if x is not node)) == [(1, a, c), (2, a, b)]
    assert [x.load for x in (a, b, c)] == [4, 6, 5]


def test_a_share_whose_move_overfills_or_is_no_better_goes_back():
    a, b = fleet([9, 3], [2])
    pool = strip([a, b], shares_of, 1.0)
    assert place(pool, lambda share, node: [b]) == [] and (a.load, b.load) == (12, 2)
    assert place([], lambda share, node: [b]) == []
    a, b = fleet([4], [1])
    assert place(strip([a, b], shares_of, 0.3), lambda share, node: [b]) == [] and a.load == 4
    a, b = fleet([5, 5], [2])
    assert place(strip([a, b], shares_of, 0.9), lambda share, node: ()) == [] and a.load == 10


def test_the_caller_sets_the_number_of_moves_and_the_score():
    a, b, c = fleet([2, 2, 2, 2], [0], [0])
    moved = []

    def move(load, share, node, target):
        node.load -= load
        target.load += load
        moved.append(share)

    pool = strip([a], shares_of, 0.1)
    moves = place(
        pool,
        lambda share, node: [b, c],
        score=lambda x, load: utilization(x, load) + (x is b),
        move=move,
        max_moves=2.5,
    )
    assert moves == [(0, a, c), (2, a, c)] and moved == [0, 2] and (a.load, b.load, c.load) == (4, 0, 4)
