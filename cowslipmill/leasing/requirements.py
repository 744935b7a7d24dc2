"""Requirements of requests on the server that serves them."""


class Requirements:
    """What a request requires of a server.

    Attributes:
        service: Name of the service.
        route: Name of the route; requests of a route take similar time.
        priority: Priority, 0 the most urgent.
        objective_at: When a response loses most of its value, in monotonic
            seconds.
        deadline_at: When the caller stops waiting, in monotonic seconds.
        kilobytes: Size of request and response.
        excluded: Names of servers that were tried before.
        max_duration_s: Longest expected duration that is accepted, in
            seconds; None for any.
        asked_before_s: For how long the caller has been asking, in seconds;
            0.0 for its first request.
    """

    __slots__ = (
        'asked_before_s',
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
        asked_before_s: float = 0.0,
    ) -> None:
        """Creates the requirements of one request."""
        self.service = service
        self.route = route
        self.priority = priority
        self.objective_at = objective_at
        self.deadline_at = deadline_at
        self.kilobytes = kilobytes
        self.excluded = excluded
        self.max_duration_s = max_duration_s
        self.asked_before_s = asked_before_s

    def with_max_duration(self, max_duration_s: float) -> 'Requirements':
        """Returns a copy that accepts at most this expected duration."""
        return Requirements(
            self.service,
            self.route,
            self.priority,
            self.objective_at,
            self.deadline_at,
            kilobytes=self.kilobytes,
            excluded=self.excluded,
            max_duration_s=max_duration_s,
            asked_before_s=self.asked_before_s,
        )
