"""Decodes JSON into structs and reports every problem with its path."""

import re
from typing import Any
from typing import get_type_hints
from typing import TypeVar

from msgspec import convert
from msgspec import DecodeError
from msgspec import json
from msgspec import Struct
from msgspec import ValidationError
from msgspec.structs import fields

from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.problem import Problem

T = TypeVar('T', bound=Struct)

PATH_SUFFIX = re.compile(r'^(?P<reason>.*?)(?: - at `(?P<path>\$[^`]*)`)?$')


def decode(raw: bytes, struct_type: type[T]) -> T:
    """Decodes JSON into a struct.

    Args:
        raw: The JSON text.
        struct_type: The struct type to decode into.

    Returns:
        The typed value.

    Raises:
        InvalidDocument: With every problem found, at most one for each path.
    """
    try:
        return json.decode(raw, type=struct_type)
    except (DecodeError, UnicodeDecodeError):
        # msgspec stops at the first problem; callers get all of them.
        return decode_collecting_problems(raw, struct_type)


def decode_collecting_problems(raw: bytes, struct_type: type[T]) -> T:
    """Decodes JSON field by field; arguments and errors as for `decode`."""
    try:
        value = json.decode(raw)
    except (DecodeError, UnicodeDecodeError) as error:
        raise InvalidDocument((Problem('$', str(error)),)) from None
    problems = find_problems(value, struct_type, '$')
    if problems:
        raise InvalidDocument(tuple(problems))
    return convert(value, struct_type)


def find_problems(value: Any, expected_type: Any, path: str) -> list[Problem]:
    """Returns every problem of a decoded JSON value for the expected type.

    msgspec stops at the first problem, so structs are checked field by
    field and sequences item by item.
    """
    if isinstance(expected_type, type) and issubclass(expected_type, Struct):
        return find_struct_problems(value, expected_type, path)
    item_type = sequence_item_type(expected_type)
    if item_type is not None and isinstance(value, list):
        return [
            problem
            for index, part in enumerate(value)
            for problem in find_problems(part, item_type, f'{path}[{index}]')
        ] or find_conversion_problems(value, expected_type, path)
    return find_conversion_problems(value, expected_type, path)


def find_struct_problems(
    value: Any, struct_type: type[Struct], path: str
) -> list[Problem]:
    """Returns every problem of a JSON value for a struct type."""
    if not isinstance(value, dict):
        return find_conversion_problems(value, struct_type, path)
    hints = get_type_hints(struct_type, include_extras=True)
    problems = []
    known_fields = {field.encode_name for field in fields(struct_type)}
    for key in value:
        if key not in known_fields:
            problems.append(Problem(f'{path}.{key}', 'unknown field'))
    for field in fields(struct_type):
        field_path = f'{path}.{field.encode_name}'
        if field.encode_name in value:
            part = value[field.encode_name]
            problems += find_problems(part, hints[field.name], field_path)
        elif field.required:
            problems.append(Problem(field_path, 'required field is missing'))
    return problems


def sequence_item_type(annotation: Any) -> Any:
    """Returns the item type of a `tuple[T, ...]`, or None."""
    origin = getattr(annotation, '__origin__', None)
    if hasattr(annotation, '__metadata__'):
        return sequence_item_type(origin)
    arguments: tuple[Any, ...] = getattr(annotation, '__args__', ())
    if origin is tuple and arguments[1:] == (Ellipsis,):
        return arguments[0]
    return None


def find_conversion_problems(
    value: Any, expected_type: Any, path: str
) -> list[Problem]:
    """Returns the first problem that msgspec finds, with its full path."""
    try:
        convert(value, expected_type)
    except ValidationError as error:
        match = PATH_SUFFIX.match(str(error))
        if match is None:
            return [Problem(path, str(error))]
        inner_path = (match['path'] or '$')[1:]
        return [Problem(path + inner_path, match['reason'])]
    return []
