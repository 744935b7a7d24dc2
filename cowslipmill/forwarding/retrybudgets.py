"""The further sends that this host may make for each service.

Answers the load pattern of servers that fail or refuse: the fleet's allowance
is divided by the hosts known, so that it holds without talking.
"""

from cowslipmill.tries.budget import RetryBudget

# Part of the fleet's allowance that is used, since requests come and go
# within its window.
ALLOWANCE_SHARE = 0.85
# Further sends that a host may make right after its start.
INITIAL_TOKENS = 1.0
# Hosts assumed while fewer are known, so that a host that has just started
# doesn't take the whole fleet's allowance.
MIN_ASSUMED_HOSTS = 12


class RetryBudgets:
    """Budgets by service.

    Attributes:
        retry_share: Further sends for each request, over all hosts.
        reserve: Further sends beside that share, over all hosts.
        budgets: Budgets by service.
    """

    __slots__ = ('budgets', 'reserve', 'retry_share')

    def __init__(self, retry_share: float, reserve: float) -> None:
        """Starts without services."""
        self.retry_share = retry_share
        self.reserve = reserve
        self.budgets: dict[str, RetryBudget] = {}

    def record_request(self, service: str, hosts: int) -> RetryBudget:
        """Counts a request for a service and returns the service's budget.

        Args:
            service: The service's name.
            hosts: Hosts known.
        """
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ALLOWANCE_SHARE * self.retry_share, reserve=INITIAL_TOKENS
            )
            self.budgets[service] = budget
        own_reserve = (
            ALLOWANCE_SHARE * self.reserve / max(MIN_ASSUMED_HOSTS, hosts)
        )
        budget.max_tokens = max(1.0, own_reserve)
        budget.earn()
        return budget
