"""The paper's strip and place, on nodes that are no servers."""

from dataclasses import dataclass

from knotwalk.placement.passes import place, strip, utilization


@dataclass(eq=False)
class Node:
    load: float
    capacity: float = 10.0


def held(node):
    return HELD.get(node, ())


HELD: dict = {}


def fleet(*loads):
    """Nodes that hold shares of these loads, numbered through."""
    HELD.clear()
    nodes = [Node(sum(of)) for of in loads]
    numbers = iter(range(100))
    HELD.update((node, [(load, next(numbers)) for load in of]) for node, of in zip(nodes, loads))
    return nodes


def test_the_heaviest_leave_until_a_node_is_at_the_threshold():
    a, b = fleet([2, 5, 4], [3, 3])
    assert strip([a, b], held, 0.6) == [(5, 1, a)]
    assert (a.load, b.load) == (6, 6)


def test_what_may_not_go_is_passed_over_and_the_pool_is_ordered_over_all_nodes():
    a, b = fleet([6, 2, 2], [5, 5])
    assert strip([a, b], held, 0.1, rank=lambda share: -share, can_move=lambda load, share, node: share != 0) == [
        (5, 4, b),
        (5, 3, b),
        (2, 2, a),
        (2, 1, a),
    ]


def test_each_goes_where_it_fits_best_and_counts_there_at_once():
    a, b, c = fleet([4, 4, 4], [2], [1])
    pool = strip([a, b, c], held, 0.3)
    # The first is no better off elsewhere while the others are in the pool, and goes back.
    assert place(pool, lambda share, node: (x for x in (a, b, c) if x is not node)) == [(1, a, c), (2, a, b)]
    assert [x.load for x in (a, b, c)] == [4, 6, 5]


def test_a_move_that_overfills_or_is_no_better_goes_back():
    a, b = fleet([9, 3], [2])
    pool = strip([a, b], held, 1.0)
    assert place(pool, lambda share, node: [b]) == [] and (a.load, b.load) == (12, 2)
    assert place([], lambda share, node: [b]) == []
    a, b = fleet([4], [1])
    assert place(strip([a, b], held, 0.3), lambda share, node: [b]) == [] and a.load == 4
    a, b = fleet([5, 5], [2])
    assert place(strip([a, b], held, 0.9), lambda share, node: ()) == [] and a.load == 10


def test_no_more_moves_than_told_and_by_the_callers_own_judgement():
    a, b, c = fleet([2, 2, 2, 2], [0], [0])
    made = []

    def move(load, share, node, target):
        node.load -= load
        target.load += load
        made.append(share)

    pool = strip([a], held, 0.1)
    moves = place(
        pool,
        lambda share, node: [b, c],
        score=lambda x, load: utilization(x, load) + (x is b),
        move=move,
        max_moves=2.5,
    )
    assert moves == [(0, a, c), (2, a, c)] and made == [0, 2] and (a.load, b.load, c.load) == (4, 0, 4)
