"""A budget that keeps retries a bounded share of traffic."""

RESERVE = 3.0


class RetryBudget:
    """Tokens that requests earn and retries spend.

    Attributes:
        share: Tokens earned by each request.
        tokens: Retries that may be made now.
    """

    __slots__ = ('share', 'tokens')

    def __init__(self, share: float) -> None:
        """Starts with the reserve, so that a quiet service may retry."""
        self.share = share
        self.tokens = RESERVE

    def earn(self) -> None:
        """Counts one request of a caller."""
        self.tokens = min(self.tokens + self.share, max(RESERVE, 10.0))

    def spend(self) -> bool:
        """Takes one token and tells whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
