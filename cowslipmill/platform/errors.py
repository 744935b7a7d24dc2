"""Errors in data that the platform provides."""


class InvalidField(Exception):
    """A field that is missing or has an invalid value.

    Attributes:
        field: Name of the field as the platform writes it.
        reason: What is wrong with the field.
    """

    def __init__(self, field: str, reason: str) -> None:
        """Creates the error with the message `FIELD: REASON`."""
        super().__init__(f'{field}: {reason}')
        self.field = field
        self.reason = reason
