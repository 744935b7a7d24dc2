"""What became of a document that was offered."""

from dataclasses import dataclass

from cowslipmill.configuration.stamp import Stamp


@dataclass(frozen=True, slots=True)
class Accepted:
    """The document is in force now.

    Attributes:
        stamp: Its stamp.
    """

    stamp: Stamp


@dataclass(frozen=True, slots=True)
class NotNewer:
    """The document is in force already, or a later one is.

    Attributes:
        stamp: Its stamp.
    """

    stamp: Stamp


@dataclass(frozen=True, slots=True)
class Refused:
    """The document has faults and changes nothing.

    Attributes:
        reason: Every fault in one line.
    """

    reason: str


OfferResult = Accepted | NotNewer | Refused
