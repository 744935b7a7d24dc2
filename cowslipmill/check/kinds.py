"""Kinds of files that can be checked, as values of `--kind`."""

from collections.abc import Callable

from msgspec import Struct

from cowslipmill.document.document import Document
from cowslipmill.platform.configuration import decode_configuration
from cowslipmill.platform.nodefile import decode_settings
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


def decode_settings_bytes(raw: bytes) -> Struct:
    """Decodes the settings file that the platform writes for a host.

    Bytes that are not valid UTF-8 are replaced.
    """
    return decode_settings(raw.decode(errors='replace'))


# Decoders of the files in the platform's own formats.
PLATFORM_KINDS: dict[str, Callable[[bytes], Struct]] = {
    'platform-configuration': decode_configuration,
    'platform-settings': decode_settings_bytes,
}
