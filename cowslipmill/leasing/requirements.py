"""What a request needs of a server."""


class Requirements:
    """What a request needs of a server.

    Attributes:
        service: The service's name.
        route: The route's name; requests of a route take similar time.
        priority: Rank, 0 the most urgent.
        objective_at: When an answer loses most of its value.
        deadline_at: When the caller stops waiting.
        kilobytes: Size of request and answer.
        excluded: Servers that were tried before.
        max_duration_s: Only a server that finishes within this is wanted.
    """

    __slots__ = (
        'deadline_at',
        'excluded',
        'kilobytes',
        'max_duration_s',
        'objective_at',
        'priority',
        'route',
        'service',
    )

    def __init__(
        self,
        service: str,
        route: str,
        priority: int,
        objective_at: float,
        deadline_at: float,
        *,
        kilobytes: float = 0.0,
        excluded: tuple[str, ...] = (),
        max_duration_s: float | None = None,
    ) -> None:
        """Keeps the parts."""
        self.service = service
        self.route = route
        self.priority = priority
        self.objective_at = objective_at
        self.deadline_at = deadline_at
        self.kilobytes = kilobytes
        self.excluded = excluded
        self.max_duration_s = max_duration_s

    def with_max_duration(self, max_duration_s: float) -> 'Requirements':
        """Returns the same need of a server that finishes within a time."""
        return Requirements(
            self.service,
            self.route,
            self.priority,
            self.objective_at,
            self.deadline_at,
            kilobytes=self.kilobytes,
            excluded=self.excluded,
            max_duration_s=max_duration_s,
        )
