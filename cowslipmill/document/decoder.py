"""Decoding JSON into typed values, with every fault and its path."""

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


def decode(raw: bytes, kind: type[T]) -> T:
    """Decodes JSON into a struct.

    Args:
        raw: The JSON text.
        kind: The struct to make.

    Returns:
        The typed value.

    Raises:
        InvalidDocument: With every fault found, one for each field.
    """
    try:
        return json.decode(raw, type=kind)
    except (DecodeError, UnicodeDecodeError):
        # The library stops at its first fault; all of them are wanted.
        return decode_slowly(raw, kind)


def decode_slowly(raw: bytes, kind: type[T]) -> T:
    """Decodes JSON with a look at each field; arguments as for `decode`."""
    try:
        value = json.decode(raw)
    except (DecodeError, UnicodeDecodeError) as error:
        raise InvalidDocument((Problem('$', str(error)),)) from None
    problems = find_problems(value, kind, '$')
    if problems:
        raise InvalidDocument(tuple(problems))
    return convert(value, kind)


def find_problems(value: Any, kind: Any, path: str) -> list[Problem]:
    """Returns every fault of a decoded JSON value against a type.

    The library stops at its first fault, so structs and sequences are
    checked a field at a time.
    """
    if isinstance(kind, type) and issubclass(kind, Struct):
        return find_struct_problems(value, kind, path)
    item = sequence_item(kind)
    if item is not None and isinstance(value, list):
        return [
            problem
            for index, part in enumerate(value)
            for problem in find_problems(part, item, f'{path}[{index}]')
        ] or convert_problems(value, kind, path)
    return convert_problems(value, kind, path)


def find_struct_problems(
    value: Any, kind: type[Struct], path: str
) -> list[Problem]:
    """Returns every fault of a JSON object against a struct."""
    if not isinstance(value, dict):
        return convert_problems(value, kind, path)
    hints = get_type_hints(kind, include_extras=True)
    problems = []
    known = {field.encode_name for field in fields(kind)}
    for key in value:
        if key not in known:
            problems.append(Problem(f'{path}.{key}', 'unknown field'))
    for field in fields(kind):
        place = f'{path}.{field.encode_name}'
        if field.encode_name in value:
            part = value[field.encode_name]
            problems += find_problems(part, hints[field.name], place)
        elif field.required:
            problems.append(Problem(place, 'required field is missing'))
    return problems


def sequence_item(kind: Any) -> Any:
    """Returns the item type of a `tuple[T, ...]`, or None."""
    origin = getattr(kind, '__origin__', None)
    if hasattr(kind, '__metadata__'):
        return sequence_item(origin)
    arguments: tuple[Any, ...] = getattr(kind, '__args__', ())
    if origin is tuple and arguments[1:] == (Ellipsis,):
        return arguments[0]
    return None


def convert_problems(value: Any, kind: Any, path: str) -> list[Problem]:
    """Returns the library's fault for one value, with its whole path."""
    try:
        convert(value, kind)
    except ValidationError as error:
        found = PATH_SUFFIX.match(str(error))
        if found is None:
            return [Problem(path, str(error))]
        inner = (found['path'] or '$')[1:]
        return [Problem(path + inner, found['reason'])]
    return []
