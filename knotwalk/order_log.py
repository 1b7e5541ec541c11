"""Implementations of Orders (interface.py) that record a round's orders.

Owns the list of one round's orders. It must never change, delay or reorder what it passes on.
"""

from knotwalk.interface import Orders


class OrderLog:
    """Records orders as (name, arguments)."""

    __slots__ = ("orders",)

    def __init__(self) -> None:
        self.orders: list[tuple[str, tuple]] = []

    def line(self, slice_id: int, server: str, weight: float) -> None:
        self.orders.append(("line", (slice_id, server, weight)))

    def admit(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        self.orders.append(("admit", (slice_id, method, share, retry)))

    def withdraw(self, server: str, is_withdrawn: bool) -> None:
        self.orders.append(("withdraw", (server, is_withdrawn)))

    def receipt(self, mark: int) -> None:
        self.orders.append(("receipt", (mark,)))

    def watch(self) -> None:
        self.orders.append(("watch", ()))

    def wake(self, due_at: float) -> None:
        self.orders.append(("wake", (due_at,)))

    def note(self, text: str) -> None:
        self.orders.append(("note", (text,)))


class OrderTee(OrderLog):
    """Records orders and passes each on to the writer that carries it out."""

    __slots__ = ("out",)

    def __init__(self, out: Orders):
        self.orders, self.out = [], out

    def line(self, slice_id: int, server: str, weight: float) -> None:
        self.orders.append(("line", (slice_id, server, weight)))
        self.out.line(slice_id, server, weight)

    def admit(self, slice_id: int | None, method: int, share: float, retry: int) -> None:
        self.orders.append(("admit", (slice_id, method, share, retry)))
        self.out.admit(slice_id, method, share, retry)

    def withdraw(self, server: str, is_withdrawn: bool) -> None:
        self.orders.append(("withdraw", (server, is_withdrawn)))
        self.out.withdraw(server, is_withdrawn)

    def receipt(self, mark: int) -> None:
        self.orders.append(("receipt", (mark,)))
        self.out.receipt(mark)

    def watch(self) -> None:
        self.orders.append(("watch", ()))
        self.out.watch()

    def wake(self, due_at: float) -> None:
        self.orders.append(("wake", (due_at,)))
        self.out.wake(due_at)

    def note(self, text: str) -> None:
        self.orders.append(("note", (text,)))
        self.out.note(text)
