"""What a form is about: the operator, what is in force and the draft."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from aiohttp.web import Request
from aiohttp.web import Response
from msgspec.structs import replace

from cowslipmill.console.draft import Draft
from cowslipmill.console.draft import require_scope
from cowslipmill.console.draft import seal_draft
from cowslipmill.console.draft import unseal_draft
from cowslipmill.console.operator import Operator
from cowslipmill.console.site import Form
from cowslipmill.console.site import render
from cowslipmill.console.site import SITE
from cowslipmill.console.site import take_form
from cowslipmill.console.source import Current
from cowslipmill.document.difference import compare_documents
from cowslipmill.document.document import Document
from cowslipmill.document.rebase import apply_difference
from cowslipmill.document.rebase import Conflict
from cowslipmill.document.rebase import preserve_base_values


@dataclass(frozen=True, slots=True)
class Work:
    """One form that an operator sent, or the start of one.

    Attributes:
        request: The browser's request.
        form: What was sent with it.
        operator: Who sent it.
        current: The document in force.
        draft: The changes so far.
        document: What is in force with these changes.
        conflicts: Where both sides changed.
    """

    request: Request
    form: Form
    operator: Operator
    current: Current
    draft: Draft
    document: Document
    conflicts: tuple[Conflict, ...]

    def read(self, name: str) -> str:
        """Returns one field of the form, or ''."""
        return str(self.form.get(name, ''))

    def seal(self, document: Document | None = None) -> str:
        """Returns the draft, or one that leads to another document.

        Raises:
            BadDraft: If it has grown too large.
        """
        draft = self.draft
        if document is not None:
            draft = self.lead_to(document)
        return seal_draft(self.request.app[SITE].signer, draft)

    def lead_to(self, document: Document) -> Draft:
        """Returns the draft that leads to a document.

        Values that another operator overtook stay known as the draft's
        base until it is rebased.
        """
        difference = compare_documents(self.current.document, document)
        if not self.draft.starts_from(self.current):
            difference = preserve_base_values(
                difference, self.draft.difference
            )
        return replace(self.draft, difference=difference)

    def render(self, template: str, **values: Any) -> Response:
        """Returns a page that carries the draft on."""
        values.setdefault('draft', self.seal())
        values.setdefault('moved', not self.draft.starts_from(self.current))
        return render(
            self.request,
            template,
            operator=self.operator,
            current=self.current,
            **values,
        )


async def open_work(request: Request) -> Work:
    """Reads a form and everything that it is about.

    Raises:
        HTTPForbidden: If the form is not from this console.
        HTTPSeeOther: If nobody is signed in.
        SignInAgain: The same for a form.
        NothingInForce: If there is no document to change.
        BadDraft: If the draft is not from a console.
        InvalidDocument: If the draft is beyond the operator's scope.
    """
    site = request.app[SITE]
    operator, form = await take_form(request)
    current = await site.source.read_current()
    text = str(form.get('draft', ''))
    draft = Draft.start(current)
    if text:
        draft = unseal_draft(site.signer, text)
    require_scope(operator, draft.difference, current.document)
    applied = apply_difference(current.document, draft.difference)
    return Work(
        request=request,
        form=form,
        operator=operator,
        current=current,
        draft=draft,
        document=applied.document,
        conflicts=applied.conflicts,
    )


def find_own(items: Iterable[Any], operator: Operator) -> set[str]:
    """Returns the names of the items that an operator may change."""
    return {
        item.name
        for item in items
        if operator.team in (None, getattr(item, 'team', None))
    }
