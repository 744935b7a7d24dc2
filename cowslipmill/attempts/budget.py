"""Retry budget: bounds retries to a share of the requests."""

RESERVE = 3.0
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that requests fill and retries empty.

    Each process spends only what its own requests have earned, so that over
    the fleet retries never exceed `share` of all requests by more than one
    reserve for each process.

    Attributes:
        share: Tokens earned by each request.
        tokens: Retries that are allowed now.
        max_tokens: Most tokens that can be saved.
    """

    __slots__ = ('max_tokens', 'share', 'tokens')

    def __init__(
        self,
        share: float,
        *,
        reserve: float = RESERVE,
        max_tokens: float = MAX_TOKENS,
    ) -> None:
        """Starts with the reserve, so that a quiet service can retry."""
        self.share = share
        self.max_tokens = max_tokens
        self.tokens = reserve if share > 0.0 else 0.0

    def earn(self) -> None:
        """Adds the tokens earned by one request of a caller."""
        self.tokens = min(self.tokens + self.share, self.max_tokens)

    def spend(self) -> bool:
        """Spends one token and returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
