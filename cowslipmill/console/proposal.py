"""A checked next version of the document, with what it changes."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import json
from msgspec import Struct
from msgspec.structs import replace
from xxhash import xxh3_64_hexdigest

from cowslipmill.console.draft import require_scope
from cowslipmill.console.operator import Operator
from cowslipmill.console.source import Current
from cowslipmill.document.checker import decode_document
from cowslipmill.document.danger import Danger
from cowslipmill.document.danger import describe_danger
from cowslipmill.document.danger import find_dangers
from cowslipmill.document.danger import RouteTaken
from cowslipmill.document.difference import compare_documents
from cowslipmill.document.difference import Difference
from cowslipmill.document.digest import document_digest
from cowslipmill.document.document import Document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem


class Notice(Struct, frozen=True, kw_only=True):
    """A danger that must be confirmed by its key."""

    key: str
    text: str


@dataclass(frozen=True, slots=True)
class Proposal:
    """The next version, valid as a whole and within the operator's scope.

    Attributes:
        document: The document.
        raw: The bytes to publish.
        digest: Their digest.
        difference: What it changes.
        notices: Dangers to confirm.
    """

    document: Document
    raw: bytes
    digest: str
    difference: Difference
    notices: tuple[Notice, ...]

    def find_unconfirmed(self, keys: Collection[str]) -> tuple[Notice, ...]:
        """Returns the dangers whose keys were not given."""
        return tuple(
            notice for notice in self.notices if notice.key not in keys
        )


def make_proposal(
    operator: Operator,
    current: Current,
    wanted: Document,
    server_counts: Mapping[str, int] | None,
) -> Proposal:
    """Makes the next version with the wanted content.

    Args:
        operator: Who proposes it.
        current: The document in force, which becomes its base.
        wanted: The content; its version and base are set anew.
        server_counts: Live servers by service, or None if not known.

    Returns:
        The proposal.

    Raises:
        InvalidDocument: With every fault, also of scope.
    """
    base = current.document
    document = replace(wanted, version=base.version + 1, base=base.version)
    if document.deployment != base.deployment:
        reason = f'must stay {base.deployment!r}'
        raise InvalidDocument((Problem('$.deployment', reason),))
    raw = json.encode(document)
    decode_document(raw)
    difference = compare_documents(base, document)
    require_scope(operator, difference, base)
    if not difference.changes and not difference.settings:
        raise InvalidDocument((Problem('$', 'nothing would change'),))
    dangers = find_dangers(base, document, server_counts)
    refuse_taking(operator, dangers)
    return Proposal(
        document=document,
        raw=raw,
        digest=document_digest(raw),
        difference=difference,
        notices=tuple(make_notice(danger) for danger in dangers),
    )


def refuse_taking(operator: Operator, dangers: Iterable[Danger]) -> None:
    """Refuses a team's route that takes another team's requests.

    Raises:
        InvalidDocument: With each such route.
    """
    problems = tuple(
        Problem(
            f'$.routes[{danger.after}]',
            f'takes requests of route {danger.before!r} of another team',
        )
        for danger in dangers
        if isinstance(danger, RouteTaken) and danger.team == operator.team
    )
    if problems:
        raise InvalidDocument(problems)


def make_notice(danger: Danger) -> Notice:
    """Returns the notice of a danger; its key holds for just this danger."""
    key = xxh3_64_hexdigest(repr(danger).encode())
    return Notice(key=key, text=describe_danger(danger))
