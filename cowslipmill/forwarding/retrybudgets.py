"""The retry budgets of this host, one for each service.

For the case that servers fail or shed load: the allowance of the whole fleet
for retries and hedges is divided by the number of hosts known, so that it
holds without coordination between the hosts.
"""

from cowslipmill.attempts.budget import RetryBudget
from cowslipmill.runtime.names import BoundedDict

# Share of the allowance that is used: the allowance applies within a time
# window, and the number of requests in the window fluctuates.
ALLOWANCE_SHARE = 0.85
# Retries that a host may send for a service right after its start.
INITIAL_TOKENS = 1.0
# Number of hosts assumed while fewer are known, so that a host that has just
# started does not use the whole fleet's allowance.
MIN_ASSUMED_HOSTS = 12


class RetryBudgets:
    """Retry budgets by service.

    Attributes:
        retry_share: Retries and hedges allowed for each request, over all
            hosts.
        reserve: Retries and hedges allowed beyond that share, over all
            hosts.
        budgets: Budgets by the service's name.
    """

    __slots__ = ('budgets', 'reserve', 'retry_share')

    def __init__(self, retry_share: float, reserve: float) -> None:
        """Creates the collection without budgets."""
        self.retry_share = retry_share
        self.reserve = reserve
        self.budgets: dict[str, RetryBudget] = BoundedDict()

    def record_request(self, service: str, hosts: int) -> RetryBudget:
        """Counts a request and returns the budget of its service.

        Args:
            service: The service's name.
            hosts: Number of hosts known in the fleet.
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
