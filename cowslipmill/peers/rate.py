"""Rate limit for the messages of one peer."""


class RateLimit:
    """A token bucket with one token per message.

    Attributes:
        per_second: Tokens added per second; also the capacity of the bucket.
        tokens: Tokens available at `updated_at`.
        updated_at: Time of the last refill in monotonic seconds.
    """

    __slots__ = ('per_second', 'tokens', 'updated_at')

    def __init__(self, per_second: float, now: float) -> None:
        """Initializes a full bucket.

        Args:
            per_second: Messages allowed per second.
            now: Monotonic seconds.
        """
        self.per_second = per_second
        self.tokens = per_second
        self.updated_at = now

    def allow(self, now: float) -> bool:
        """Takes a token if there is one.

        Args:
            now: Monotonic seconds.

        Returns:
            Whether there was a token, so that the message is allowed.
        """
        refill = (now - self.updated_at) * self.per_second
        self.tokens = min(self.per_second, self.tokens + refill)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
