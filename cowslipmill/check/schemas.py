"""JSON Schemas of the files and the documentation made from them."""

from collections.abc import Iterator
from inspect import cleandoc
from pathlib import Path
from typing import Any

from msgspec import json
from msgspec import Struct

from cowslipmill.check.kinds import DOCUMENT_KIND
from cowslipmill.check.kinds import FILE_KINDS
from cowslipmill.check.kinds import SETTINGS_KINDS

DIALECT = 'https://json-schema.org/draft/2020-12/schema'
GENERATED_NOTICE = (
    'Made by `tools/make_schemas.py` from the schemas; do not edit.'
)

SETTINGS_INTRODUCTION = """\
Each program reads one JSON file, named by `--settings`. It holds what the
process must know by itself: its addresses, its failure domain, its keys.
What it does with requests comes from the [document](document.md). Check a
file before a start, for example:

    cowslipmill-check --kind=entry examples/caroni/entry.json
"""
DOCUMENT_INTRODUCTION = """\
The document is the whole configuration of a deployment. The console makes
it; the platform publishes it. Check one offline with:

    cowslipmill-check --kind=document examples/caroni/document.json

The check also refuses a version that does not follow its base, a name that
stands twice, an unknown team or service, two routes that match the same
requests equally well, and fewer connections than slots.
"""


def make_schema(kind: type[Struct]) -> dict[str, Any]:
    """Returns the JSON Schema of a kind of file."""
    return {'$schema': DIALECT, **json.schema(kind)}


def make_files() -> dict[str, str]:
    """Returns the text of each generated file by its path in `docs`."""
    files = {
        f'schemas/{name}.schema.json': format_json(make_schema(kind))
        for name, kind in FILE_KINDS.items()
    }
    files['operators/settings.md'] = make_page(
        'Settings', SETTINGS_INTRODUCTION, list(SETTINGS_KINDS)
    )
    files['operators/document.md'] = make_page(
        'The document', DOCUMENT_INTRODUCTION, [DOCUMENT_KIND]
    )
    return files


def format_json(value: Any) -> str:
    """Returns indented JSON text."""
    return json.format(json.encode(value), indent=2).decode() + '\n'


def make_page(title: str, introduction: str, names: list[str]) -> str:
    """Returns a Markdown page with a table for each struct of the files."""
    parts = [f'# {title}', GENERATED_NOTICE, introduction.rstrip()]
    seen: set[str] = set()
    for name in names:
        definitions = make_schema(FILE_KINDS[name])['$defs']
        for label, definition in definitions.items():
            if definition.get('type') == 'object' and label not in seen:
                seen.add(label)
                parts += make_table(label, definition)
    return '\n\n'.join(parts) + '\n'


def make_table(label: str, definition: dict[str, Any]) -> list[str]:
    """Returns the heading, the description and the table of a struct."""
    required = definition.get('required', ())
    lines = ['| field | value | default |', '|---|---|---|']
    for name, field in definition['properties'].items():
        default = 'required' if name in required else describe_default(field)
        constraints = describe_field(field).replace('|', '\\|')
        lines.append(f'| `{name}` | {constraints} | {default} |')
    description = cleandoc(definition.get('description', ''))
    description = description.replace('Attributes:\n', 'Fields:\n\n')
    return [f'## {label}', description, '\n'.join(lines)]


def describe_default(field: dict[str, Any]) -> str:
    """Returns the default of a field as JSON."""
    if 'default' not in field:
        return 'its own defaults'
    return f'`{json.encode(field["default"]).decode()}`'


def describe_field(field: dict[str, Any]) -> str:
    """Returns the type and the constraints of a field as text."""
    return ', '.join(list_constraints(field))


def list_constraints(field: dict[str, Any]) -> Iterator[str]:
    """Yields the type and each constraint of a field as text."""
    if '$ref' in field:
        label = field['$ref'].rpartition('/')[2]
        yield f'[{label}](#{label.lower()})'
    if 'anyOf' in field:
        yield ' or '.join(describe_field(part) for part in field['anyOf'])
    if 'type' in field:
        yield str(field['type'])
    if 'items' in field:
        yield f'each {describe_field(field["items"])}'
    if 'enum' in field:
        yield ' or '.join(f'`{value}`' for value in field['enum'])
    for key, limit_label in CONSTRAINT_LABELS.items():
        if key in field:
            yield f'{limit_label} `{field[key]}`'


CONSTRAINT_LABELS = {
    'minimum': 'at least',
    'maximum': 'at most',
    'minLength': 'length at least',
    'maxLength': 'length at most',
    'minItems': 'items at least',
    'pattern': 'matches',
}


def write_files(directory: Path) -> None:
    """Writes every generated file below a directory."""
    for name, text in make_files().items():
        path = directory / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)


def find_stale_files(directory: Path) -> list[str]:
    """Returns the generated files that are missing or out of date."""
    return [
        name
        for name, text in make_files().items()
        if not (directory / name).exists()
        or (directory / name).read_text() != text
    ]
