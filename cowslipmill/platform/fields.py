"""Typed, validated access to the fields of JSON objects."""

from json import loads
from socket import AF_INET
from socket import inet_pton
from typing import Any

from cowslipmill.platform.errors import InvalidField

JsonObject = dict[str, Any]

# Limits of what messages between hosts can carry.
MAX_INTEGER = 2**63 - 1
MAX_NUMBER = float(2**53)
MAX_PORT = 65_535
# Most memory that a decoded object may take, and what one value of it takes
# at least. A text takes up to four bytes for each character.
MAX_DECODED_BYTES = 33_554_432
VALUE_BYTES = 80
MAX_BYTES_PER_CHARACTER = 4
# How much of a text is repeated in an error.
QUOTED_CHARACTERS = 40


def read_object(raw: bytes | bytearray, name: str) -> JsonObject:
    """Returns the JSON object that bytes encode.

    Args:
        raw: The encoded object.
        name: What the object is called in an error.

    Raises:
        InvalidField: If the bytes aren't JSON, aren't an object, or would take
            more than `MAX_DECODED_BYTES` as objects.
    """
    if estimate_decoded_bytes(raw) > MAX_DECODED_BYTES:
        raise InvalidField(name, 'too large')
    try:
        value = loads(raw)
    except (ValueError, RecursionError) as error:
        raise InvalidField(name, 'cannot be read') from error
    if not isinstance(value, dict):
        raise InvalidField(name, 'not an object')
    return value


def estimate_decoded_bytes(raw: bytes | bytearray) -> int:
    """Returns an upper bound of the memory that decoded JSON takes.

    A list or object of three bytes takes up to `VALUE_BYTES`, so that a few
    megabytes of them would fill the process.

    Args:
        raw: The encoded JSON.
    """
    values = 1 + sum(map(raw.count, (b',', b'[', b'{', b':')))
    text_bytes = len(raw)
    if not raw.isascii():
        text_bytes *= MAX_BYTES_PER_CHARACTER
    return values * VALUE_BYTES + 2 * text_bytes


def quote(text: str) -> str:
    """Returns the beginning of a text as it is repeated in an error."""
    return repr(text[:QUOTED_CHARACTERS])


def read_string(
    fields: JsonObject, name: str, *, max_characters: int | None = None
) -> str:
    """Returns a string that isn't empty.

    Args:
        fields: The object.
        name: The field.
        max_characters: Longest text allowed; None for any.

    Raises:
        InvalidField: If the field is missing, empty, no string or too long.
    """
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidField(name, 'not a text')
    if max_characters is not None and len(value) > max_characters:
        raise InvalidField(name, 'too long')
    require_encodable(value, name)
    return value


def require_encodable(text: str, name: str) -> None:
    """Checks that a text can be sent to other hosts.

    Raises:
        InvalidField: If it holds a lone surrogate, which has no encoding.
    """
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise InvalidField(name, 'has no encoding') from error


def read_integer(
    fields: JsonObject,
    name: str,
    *,
    minimum: int = 0,
    maximum: int = MAX_INTEGER,
) -> int:
    """Returns an integer.

    Raises:
        InvalidField: If the field is missing, no integer, below `minimum` or
            above `maximum`.
    """
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidField(name, 'not a whole number')
    if value < minimum:
        raise InvalidField(name, f'below {minimum}')
    if value > maximum:
        raise InvalidField(name, 'too large')
    return value


def read_number(
    fields: JsonObject,
    name: str,
    *,
    default: float = 0.0,
    maximum: float = MAX_NUMBER,
) -> float:
    """Returns a number that isn't negative, or the default if missing.

    Raises:
        InvalidField: If the field is present and isn't such a number, or is
            above `maximum`.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidField(name, 'not a number')
    if value < 0:
        raise InvalidField(name, 'negative')
    if not value <= maximum:
        raise InvalidField(name, 'too large')
    return float(value)


def read_objects(fields: JsonObject, name: str) -> list[JsonObject]:
    """Returns a list of JSON objects.

    Raises:
        InvalidField: If the field is missing or isn't a list of objects.
    """
    value = fields.get(name)
    if not isinstance(value, list):
        raise InvalidField(name, 'not a list')
    for entry in value:
        if not isinstance(entry, dict):
            raise InvalidField(name, 'holds something other than objects')
    return value


def read_address(text: str, name: str) -> tuple[str, int]:
    """Returns the IP address and port of a text `IP:PORT`.

    Args:
        text: The text to parse.
        name: The field that the text comes from, for an error.

    Raises:
        InvalidField: If the text has another form.
    """
    ip_address, _, port = text.rpartition(':')
    valid = port.isascii() and port.isdigit() and len(port) <= 5
    if not valid or not is_ip_address(ip_address):
        raise InvalidField(name, f'{quote(text)} is not IP:PORT')
    if not 0 < int(port) <= MAX_PORT:
        raise InvalidField(name, f'{port} is not a port')
    return ip_address, int(port)


def is_ip_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address."""
    try:
        inet_pton(AF_INET, text)
    except (OSError, ValueError):
        return False
    return True
