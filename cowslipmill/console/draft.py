"""A draft: changes that an operator has not handed over yet."""

from msgspec import json
from msgspec import MsgspecError
from msgspec import Struct

from cowslipmill.console.operator import Operator
from cowslipmill.console.signer import Signer
from cowslipmill.console.source import Current
from cowslipmill.document.difference import compare_documents
from cowslipmill.document.difference import Difference
from cowslipmill.document.document import Document
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.teamsections import check_change_ownership

DRAFT_PURPOSE = 'draft'
MAX_DRAFT_BYTES = 262_144


class Draft(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Changes and the document that they start from.

    A draft travels in the form itself, so that any console can go on with
    it and none keeps it.

    Attributes:
        base_digest: Digest of the document that it starts from.
        difference: The changes.
    """

    base_digest: str
    difference: Difference

    @classmethod
    def start(cls, current: Current) -> 'Draft':
        """Returns a draft without changes."""
        difference = Difference(base=current.document.version)
        return cls(base_digest=current.digest, difference=difference)

    @classmethod
    def lead_to(cls, current: Current, document: Document) -> 'Draft':
        """Returns the draft that leads from what is in force to another."""
        difference = compare_documents(current.document, document)
        return cls(base_digest=current.digest, difference=difference)

    def starts_from(self, current: Current) -> bool:
        """Tells whether no other document came into force meanwhile."""
        return self.base_digest == current.digest


class BadDraft(Exception):
    """A draft that this console cannot go on with."""


def seal_draft(signer: Signer, draft: Draft) -> str:
    """Returns a draft as the text of a form field.

    Raises:
        BadDraft: If it has grown too large.
    """
    raw = json.encode(draft)
    if len(raw) > MAX_DRAFT_BYTES:
        reason = f'the draft has {len(raw)} bytes, {MAX_DRAFT_BYTES} allowed'
        raise BadDraft(reason)
    return signer.seal(DRAFT_PURPOSE, raw)


def unseal_draft(signer: Signer, text: str) -> Draft:
    """Returns the draft of a form field.

    Raises:
        BadDraft: If no console of this deployment sealed it.
    """
    raw = signer.unseal(DRAFT_PURPOSE, text)
    if raw is None:
        raise BadDraft('the draft was not made by a console with these keys')
    try:
        return json.decode(raw, type=Draft)
    except MsgspecError as error:
        raise BadDraft(f'the draft is unreadable: {error}') from error


def require_scope(
    operator: Operator, difference: Difference, base: Document
) -> None:
    """Refuses changes outside the operator's team.

    Raises:
        InvalidDocument: With each change that is another team's.
    """
    if operator.team is None:
        return
    problems = tuple(check_change_ownership(difference, base, operator.team))
    if problems:
        raise InvalidDocument(problems)
