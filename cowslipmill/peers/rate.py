"""A bound on the messages that one peer may send."""


class RateLimit:
    """A token bucket.

    Attributes:
        per_second: Tokens added each second, and the most that are kept.
        tokens: Messages that may come now.
        updated_at: Monotonic seconds of the last call.
    """

    __slots__ = ('per_second', 'tokens', 'updated_at')

    def __init__(self, per_second: float, now: float) -> None:
        """Starts full."""
        self.per_second = per_second
        self.tokens = per_second
        self.updated_at = now

    def allow(self, now: float) -> bool:
        """Takes one token and tells whether there was one."""
        earned = (now - self.updated_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + earned)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
