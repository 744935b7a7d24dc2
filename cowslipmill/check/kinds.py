"""The kinds of files that operators write."""

from msgspec import Struct

from cowslipmill.document.document import Document
from cowslipmill.settings.settings import AgentSettings
from cowslipmill.settings.settings import ConsoleSettings
from cowslipmill.settings.settings import EntrySettings

DOCUMENT_KIND = 'document'

SETTINGS_KINDS: dict[str, type[Struct]] = {
    'agent': AgentSettings,
    'console': ConsoleSettings,
    'entry': EntrySettings,
}

FILE_KINDS: dict[str, type[Struct]] = {
    DOCUMENT_KIND: Document,
    **SETTINGS_KINDS,
}
