"""Form fields of services and routes, from the document's own schema."""

from collections.abc import Mapping
from dataclasses import dataclass
import re
from typing import Any

from msgspec import json

from cowslipmill.document.decoder import find_problems
from cowslipmill.document.difference import Item
from cowslipmill.document.difference import item_fields
from cowslipmill.document.difference import ITEM_TYPES
from cowslipmill.document.difference import Section
from cowslipmill.document.problem import Problem

SEPARATOR = re.compile(r'[\s,]+')
MAX_TYPED_LENGTH = 4_096

LABELS = {
    'name': ('Name', 'Lower-case letters, digits and hyphens.'),
    'team': ('Team', 'The team that owns it.'),
    'slots_per_server': (
        'Slots per server',
        'Requests in flight at one server, over all entries.',
    ),
    'connections_per_server': (
        'Connections per server',
        'Open connections to one server, over all entries.',
    ),
    'measuring_per_second': (
        'Measuring calls per second',
        'Most measuring calls to one server in a second, fleet-wide.',
    ),
    'retry_share': (
        'Retry budget',
        'Retries as a share of requests, 0 to 1.',
    ),
    'hedge_share': (
        'Hedging budget',
        'Second tries as a share of idempotent requests, 0 to 1.',
    ),
    'ramp_ms': (
        'Ramp (ms)',
        'How long a new server takes to get its whole share.',
    ),
    'max_ejected_share': (
        'Most servers set aside',
        'Share of the servers that may be avoided at once, 0 to 0.5.',
    ),
    'service': ('Service', 'The service that must answer.'),
    'methods': ('Methods', 'Such as GET or POST, with spaces between.'),
    'path': (
        'Path',
        'A segment {name} matches one segment, a last * matches the rest.',
    ),
    'idempotent': ('May a request run more than once?', ''),
    'host': ('Host', 'Host name of the request, or * for any.'),
    'deadline_ms': ('Deadline (ms)', 'An answer after this is given up on.'),
    'priority': (
        'Priority',
        'When servers are full, critical is refused last, bulk first.',
    ),
    'max_request_bytes': ('Largest request (bytes)', ''),
    'max_answer_bytes': ('Largest answer (bytes)', ''),
}


@dataclass(frozen=True, slots=True)
class Field:
    """One field of a form.

    Attributes:
        name: Field of the struct.
        label: For the operator.
        help: One sentence more.
        widget: `text`, `number`, `choice` or `boolean`.
        required: Whether it has no default.
        default: Text of its default.
        choices: Values of a choice.
        bounds: HTML attributes `min`, `max` and `step`.
    """

    name: str
    label: str
    help: str
    widget: str
    required: bool
    default: str
    choices: tuple[str, ...]
    bounds: tuple[tuple[str, str], ...]


def make_fields(section: Section) -> tuple[Field, ...]:
    """Returns the fields of a section's form."""
    kind = ITEM_TYPES[section]
    definitions = json.schema(kind)['$defs']
    schema = definitions[kind.__name__]
    required = schema['required']
    return tuple(
        make_field(name, resolve(part, definitions), name in required)
        for name, part in schema['properties'].items()
    )


def resolve(
    part: dict[str, Any], definitions: dict[str, Any]
) -> dict[str, Any]:
    """Returns a field's schema with its reference followed."""
    if '$ref' not in part:
        return part
    return {**definitions[part['$ref'].rpartition('/')[2]], **part}


def make_field(name: str, schema: dict[str, Any], required: bool) -> Field:
    """Returns the form field of one schema."""
    label, help_text = LABELS[name]
    widgets = {'integer': 'number', 'number': 'number', 'boolean': 'boolean'}
    kind = schema.get('type', '')
    choices = tuple(str(value) for value in schema.get('enum', ()))
    step = {'integer': [('step', '1')], 'number': [('step', 'any')]}
    bounds = [
        (attribute, f'{schema[key]:g}' if kind == 'number' else schema[key])
        for key, attribute in (('minimum', 'min'), ('maximum', 'max'))
        if key in schema
    ]
    return Field(
        name=name,
        label=label,
        help=help_text,
        widget='choice' if choices else widgets.get(kind, 'text'),
        required=required,
        default=show_value(schema.get('default')),
        choices=choices,
        bounds=tuple(
            (key, str(value)) for key, value in [*bounds, *step.get(kind, ())]
        ),
    )


def show_value(value: Any) -> str:
    """Returns a JSON value as it stands in a form."""
    if value is None:
        return ''
    if isinstance(value, list):
        return ' '.join(value)
    if isinstance(value, bool):
        return 'true' if value else 'false'
    return str(value)


def show_item(item: Item) -> dict[str, str]:
    """Returns the values of an item as they stand in its form."""
    return {
        name: show_value(value) for name, value in item_fields(item).items()
    }


def read_typed(section: Section, form: Mapping[str, Any]) -> dict[str, str]:
    """Returns what was typed into each field, cut to a bounded length."""
    return {
        field.name: str(form.get(field.name, ''))[:MAX_TYPED_LENGTH].strip()
        for field in make_fields(section)
    }


def parse_typed(
    section: Section, typed: Mapping[str, str]
) -> tuple[dict[str, Any], list[Problem]]:
    """Turns typed text into JSON values.

    Args:
        section: Which form it is.
        typed: Text by field; an empty one means its default.

    Returns:
        The values, and a problem for each field that does not hold one.
    """
    values = {
        field.name: parse_value(field, typed[field.name])
        for field in make_fields(section)
        if typed[field.name]
    }
    return values, find_problems(values, ITEM_TYPES[section], '$')


def parse_value(field: Field, text: str) -> Any:
    """Returns the JSON value of one field; wrong text stays text."""
    if field.name == 'methods':
        return [part.upper() for part in SEPARATOR.split(text) if part]
    if field.widget == 'boolean':
        return {'true': True, 'false': False}.get(text, text)
    if field.widget == 'number':
        return parse_number(text)
    return text


def parse_number(text: str) -> Any:
    """Returns a number, or the text if it holds none."""
    for convert in (int, float):
        try:
            return convert(text)
        except ValueError:
            continue
    return text


def explain(problem: Problem) -> str:
    """Returns a problem in the words of a form."""
    words = {
        'Expected `int`, got `str`': 'must be a whole number',
        'Expected `int`, got `float`': 'must be a whole number',
        'Expected `float`, got `str`': 'must be a number',
        'required field is missing': 'must be given',
    }
    return words.get(problem.reason, problem.reason)
