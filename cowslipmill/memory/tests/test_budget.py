"""Tests of the bound over all work of one kind."""

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.memory.budgets import MEBIBYTE
from cowslipmill.memory.budgets import MemoryBudgets

LIMIT_BYTES = 1_000_000
# Largest body that the platform's configurations admit.
MAX_BODY_BYTES = 64 * MEBIBYTE


class Work:
    """Work that holds memory and can be ended."""

    def __init__(self, budget: MemoryBudget, size: int) -> None:
        """Begins to hold memory if there is room."""
        self.ended = False
        self.holding = Holding(budget, 'work')
        self.began = self.holding.resize(size)
        self.holding.allow_eviction(self.end)

    def end(self) -> None:
        """Notes that the work was ended."""
        self.ended = True


def test_many_holdings_together_exceed_no_limit() -> None:
    """A bound for each one alone lets many pass the memory of the process."""
    budget = MemoryBudget('test', LIMIT_BYTES)
    works = [Work(budget, 300_000) for _ in range(10)]
    assert_that(budget.peak_bytes, LessThan(LIMIT_BYTES + 1))
    assert_that([work.began for work in works].count(True), Equals(3))


def test_the_largest_work_makes_room_for_a_small_one() -> None:
    """Those that hold little don't pay for those that hold much."""
    budget = MemoryBudget('test', LIMIT_BYTES)
    large = Work(budget, 600_000)
    medium = Work(budget, 300_000)
    small = Work(budget, 200_000)
    ended = [work.ended for work in (large, medium, small)]
    assert_that(ended, Equals([True, False, False]))
    assert_that(small.began, Equals(True))
    assert_that(budget.held_bytes, Equals(500_000))


def test_the_largest_work_ends_no_smaller_one() -> None:
    """Work that grows without end would end all others one by one."""
    budget = MemoryBudget('test', LIMIT_BYTES)
    small = [Work(budget, 50_000) for _ in range(10)]
    growing = Work(budget, 100_000)
    grew = [growing.holding.resize(size * 100_000) for size in range(2, 9)]
    assert_that([work.ended for work in small], Equals([False] * 10))
    assert_that(grew, Equals([True, True, True, False, False, False, False]))


def test_large_work_leaves_room_for_small() -> None:
    """Also if it can't be ended, since it has reached a server."""
    budget = MemoryBudget('test', LIMIT_BYTES)
    works = [Work(budget, 80_000) for _ in range(12)]
    for work in works:
        work.holding.forbid_eviction()
    small = [Work(budget, 2_000) for _ in range(20)]
    assert_that([work.began for work in small], Equals([True] * 20))
    assert_that(any(work.ended for work in works), Equals(False))


def test_memory_is_given_back_with_its_holder() -> None:
    """A holding that is forgotten would take its part for good."""
    budget = MemoryBudget('test', LIMIT_BYTES)
    holding = Holding(budget)
    holding.resize(1_000)
    del holding
    ended = Work(budget, 2_000)
    ended.holding.end()
    ended.holding.release()
    assert_that(budget.held_bytes, Equals(0))


def test_the_smallest_host_takes_the_largest_request() -> None:
    """It is within the limits that the operator names to callers."""
    for limit_mb in (200, 300, 552):
        budgets = MemoryBudgets(limit_mb * MEBIBYTE)
        assert_that(Work(budgets.callers, MAX_BODY_BYTES).began, Equals(True))
        divided = sum(
            budget.limit_bytes
            for budget in (budgets.callers, budgets.servers, budgets.hosts)
        )
        assert_that(divided, LessThan((limit_mb - 80) * MEBIBYTE))
