"""Checked access to the fields of a decoded object."""

from json import loads
from typing import Any

from cowslipmill.platform.errors import InvalidField

JsonObject = dict[str, Any]


def read_object(raw: bytes, name: str) -> JsonObject:
    """Returns the object that bytes hold.

    Raises:
        InvalidField: If they hold none.
    """
    try:
        table = loads(raw)
    except ValueError as error:
        raise InvalidField(name, 'cannot be read') from error
    if not isinstance(table, dict):
        raise InvalidField(name, 'not an object')
    return table


def read_string(table: JsonObject, name: str) -> str:
    """Returns a text that isn't empty.

    Raises:
        InvalidField: If there is none.
    """
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidField(name, 'not a text')
    return value


def read_integer(table: JsonObject, name: str, *, minimum: int = 0) -> int:
    """Returns a whole number.

    Raises:
        InvalidField: If there is none, or it is below `least`.
    """
    value = table.get(name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidField(name, 'not a whole number')
    if value < minimum:
        raise InvalidField(name, f'below {minimum}')
    return value


def read_number(
    table: JsonObject, name: str, *, default: float = 0.0
) -> float:
    """Returns a number that isn't negative.

    Raises:
        InvalidField: If the field is there and isn't such a number.
    """
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidField(name, 'not a number')
    if value < 0:
        raise InvalidField(name, 'negative')
    return float(value)


def read_objects(table: JsonObject, name: str) -> list[JsonObject]:
    """Returns a list of objects.

    Raises:
        InvalidField: If it isn't one.
    """
    value = table.get(name)
    if not isinstance(value, list):
        raise InvalidField(name, 'not a list')
    for entry in value:
        if not isinstance(entry, dict):
            raise InvalidField(name, 'holds something other than objects')
    return value


def read_address(text: str, name: str) -> tuple[str, int]:
    """Returns IP number and port.

    Raises:
        InvalidField: If the text isn't `IP:PORT`.
    """
    number, _, port = text.rpartition(':')
    if not number or not port.isdigit():
        raise InvalidField(name, f'{text!r} is not IP:PORT')
    return number, int(port)
