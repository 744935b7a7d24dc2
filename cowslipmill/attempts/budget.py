"""A budget that keeps retries a bounded share of traffic."""

RESERVE = 3.0
MAX_TOKENS = 10.0


class RetryBudget:
    """Tokens that requests earn and retries spend.

    Each entry spends only what its own requests have earned, so that over
    the fleet retries never exceed `share` of all requests by more than one
    reserve for each entry.

    Attributes:
        share: Tokens earned by each request.
        tokens: Retries that may be made now.
        max_tokens: Bound of the tokens saved up.
    """

    __slots__ = ('max_tokens', 'share', 'tokens')

    def __init__(
        self,
        share: float,
        *,
        reserve: float = RESERVE,
        max_tokens: float = MAX_TOKENS,
    ) -> None:
        """Starts with the reserve, so that a quiet service may retry."""
        self.share = share
        self.max_tokens = max_tokens
        self.tokens = reserve if share > 0.0 else 0.0

    def earn(self) -> None:
        """Counts one request of a caller."""
        self.tokens = min(self.tokens + self.share, self.max_tokens)

    def spend(self) -> bool:
        """Takes one token and tells whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
