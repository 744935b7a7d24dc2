"""Results of offering a document to a configuration."""

from dataclasses import dataclass

from cowslipmill.configuration.stamp import Stamp


@dataclass(frozen=True, slots=True)
class Accepted:
    """The document is now in force.

    Attributes:
        stamp: Stamp of the offered document.
    """

    stamp: Stamp


@dataclass(frozen=True, slots=True)
class NotNewer:
    """The document in force has the same or a greater stamp.

    Attributes:
        stamp: Stamp of the offered document.
    """

    stamp: Stamp


@dataclass(frozen=True, slots=True)
class Refused:
    """The document is invalid; the one in force stays.

    Attributes:
        reason: All problems of the document, in one line.
    """

    reason: str


OfferResult = Accepted | NotNewer | Refused
