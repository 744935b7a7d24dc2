"""The document in force on one host."""

from collections.abc import Iterable

from cowslipmill.configuration.conflict import Conflict
from cowslipmill.configuration.conflict import find_conflict
from cowslipmill.configuration.offerresult import Accepted
from cowslipmill.configuration.offerresult import NotNewer
from cowslipmill.configuration.offerresult import OfferResult
from cowslipmill.configuration.offerresult import Refused
from cowslipmill.configuration.stamp import make_stamp
from cowslipmill.configuration.stamp import NO_DOCUMENT
from cowslipmill.configuration.stamp import Stamp
from cowslipmill.document.canonical import canonicalize
from cowslipmill.document.canonical import encode_canonical
from cowslipmill.document.checker import decode_document
from cowslipmill.document.digest import document_digest
from cowslipmill.document.document import Document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem

MAX_HISTORY = 8
MAX_REFUSED = 8
MAX_CONFLICTS = 8
MAX_BASES = 64


class DocumentRefusal:
    """The refusal of an invalid document.

    Attributes:
        reason: All problems of the document, in one line.
        last_offered_at: When the document was last offered, in monotonic
            seconds.
    """

    __slots__ = ('reason', 'last_offered_at')

    def __init__(self, reason: str, seen_at: float) -> None:
        """Stores the reason and the time."""
        self.reason = reason
        self.last_offered_at = seen_at


class Configuration:
    """Keeps the document with the greatest stamp of those offered.

    A document is never replaced by one with a lower stamp.

    Attributes:
        deployment: Name of the deployment; documents of others are refused.
        document: The canonical document in force, or None.
        raw: Its canonical JSON text, empty for none.
        stamp: Its stamp, or NO_DOCUMENT.
        in_force_at: When it came into force, in monotonic seconds.
        history: Recent documents in force by stamp, as bases of deltas.
        bases: Base version of each recent valid document by stamp.
        refused: Recent refusals by the digest of the document.
        conflicts: Recent conflicts between documents of two operators.
    """

    __slots__ = (
        'bases',
        'conflicts',
        'deployment',
        'document',
        'history',
        'in_force_at',
        'raw',
        'refused',
        'stamp',
    )

    def __init__(self, deployment: str) -> None:
        """Starts with no document in force."""
        self.deployment = deployment
        self.document: Document | None = None
        self.raw = b''
        self.stamp = NO_DOCUMENT
        self.in_force_at = 0.0
        self.history: dict[Stamp, Document] = {}
        self.bases: dict[Stamp, int] = {}
        self.refused: dict[str, DocumentRefusal] = {}
        self.conflicts: set[Conflict] = set()

    def offer(self, raw: bytes, now: float) -> OfferResult:
        """Puts a document in force if it is valid and has the greatest stamp.

        Args:
            raw: JSON text, from the platform or from a peer.
            now: Monotonic seconds.

        Returns:
            Whether the document was accepted, not newer or refused.
        """
        try:
            document = decode_document(raw)
            if document.deployment != self.deployment:
                reason = f'is not {self.deployment!r}'
                raise InvalidDocument((Problem('$.deployment', reason),))
        except InvalidDocument as error:
            return self.refuse(raw, str(error), now)
        return self.offer_document(document, now)

    def offer_document(self, document: Document, now: float) -> OfferResult:
        """Puts a valid document in force if it has the greatest stamp."""
        document = canonicalize(document)
        raw = encode_canonical(document)
        stamp = make_stamp(document, raw)
        self.record_base(stamp, document.base)
        if stamp <= self.stamp:
            return NotNewer(stamp)
        self.document, self.raw, self.stamp = document, raw, stamp
        self.in_force_at = now
        self.history[stamp] = document
        while len(self.history) > MAX_HISTORY:
            del self.history[min(self.history)]
        return Accepted(stamp)

    def refuse(self, raw: bytes, reason: str, now: float) -> Refused:
        """Records a refused document with the reason."""
        digest = document_digest(raw)
        self.refused.pop(digest, None)
        self.refused[digest] = DocumentRefusal(reason, now)
        while len(self.refused) > MAX_REFUSED:
            del self.refused[next(iter(self.refused))]
        return Refused(reason)

    def record_base(self, stamp: Stamp, base: int) -> None:
        """Records a document's base version and the conflicts it reveals."""
        if stamp in self.bases:
            return
        found = (
            find_conflict(stamp, base, other, other_base)
            for other, other_base in self.bases.items()
        )
        self.add_conflicts(conflict for conflict in found if conflict)
        self.bases[stamp] = base
        while len(self.bases) > MAX_BASES:
            del self.bases[min(self.bases)]

    def add_conflicts(self, conflicts: Iterable[Conflict]) -> None:
        """Merges conflicts; those with the lowest lost stamps are dropped."""
        self.conflicts.update(conflicts)
        while len(self.conflicts) > MAX_CONFLICTS:
            self.conflicts.remove(min(self.conflicts))
