"""Reads the settings file that the platform writes for each process."""

from math import inf

from cowslipmill.host.settings import DEFAULT_MEMORY_MB
from cowslipmill.host.settings import HostSettings
from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import QUOTED_CHARACTERS
from cowslipmill.platform.fields import read_address
from cowslipmill.runtime.names import MAX_NAME_CHARACTERS

# Environment variable with the path of the file, and the path without it.
PATH_VARIABLE = 'COWSLIPMILL_NODE_FILE'
DEFAULT_PATH = '/etc/cowslipmill/node.conf'
# Memory limit of the process; optional, unlike the other numbers.
MEMORY_FIELD = 'Limits.MemoryMb'


def decode_file(raw: bytes) -> HostSettings:
    """Returns the settings of a host.

    Args:
        raw: Content of the file; see `decode_settings`.

    Raises:
        InvalidField: If the file isn't UTF-8, or a field is missing or
            invalid.
    """
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        line = raw[: error.start].rpartition(b'\n')[2].decode()
        name, _ = split_line(line)
        raise InvalidField(name[:QUOTED_CHARACTERS], 'not UTF-8') from error
    return decode_settings(text)


def decode_settings(text: str) -> HostSettings:
    """Returns the settings of a host.

    Args:
        text: Content of the file, lines of the form `NAME=VALUE`. Unknown
            names are ignored.

    Raises:
        InvalidField: If a field is missing or invalid.
    """
    fields = dict(split_line(line) for line in text.splitlines() if line)
    return HostSettings(
        name=read_name(fields, 'Node'),
        failure_domain=read_name(fields, 'Zone'),
        callers_listen=read_required_address(fields, 'Listen.Front'),
        readiness_listen=read_required_address(fields, 'Listen.Ready'),
        peer_listen=read_required_address(fields, 'Listen.Control'),
        seeds=tuple(
            read_address(seed, 'Seeds')
            for seed in fields.get('Seeds', '').split(',')
            if seed
        ),
        store=read_required_address(fields, 'Platform.Address'),
        stop_s=read_float(fields, 'Bounds.GraceS'),
        retry_share=read_float(fields, 'Bounds.RetryBudgetRatio'),
        retry_reserve=read_float(fields, 'Bounds.BudgetSlack'),
        leaving_s=read_float(fields, 'Bounds.DrainMs') / 1000,
        first_start=fields.get('Bootstrap') == 'true',
        memory_mb=read_float(fields, MEMORY_FIELD, DEFAULT_MEMORY_MB),
        # A share of a core, and how many times as fast the core is as usual.
        processor=read_float(fields, 'Limits.CpuShare', 0.0)
        * read_float(fields, 'Limits.Cores', 1.0),
    )


def split_line(line: str) -> tuple[str, str]:
    """Returns the name and the value of a line, without blanks around them."""
    name, _, value = line.partition('=')
    return name.strip(), value.strip()


def read_required(fields: dict[str, str], name: str) -> str:
    """Returns the text of a field.

    Raises:
        InvalidField: If the field is missing or empty.
    """
    value = fields.get(name, '')
    if not value:
        raise InvalidField(name, 'missing')
    return value


def read_name(fields: dict[str, str], name: str) -> str:
    """Returns the name in a field.

    Raises:
        InvalidField: If the field is missing, empty or too long for messages
            between hosts.
    """
    value = read_required(fields, name)
    if len(value) > MAX_NAME_CHARACTERS:
        raise InvalidField(name, f'over {MAX_NAME_CHARACTERS} characters')
    return value


def read_required_address(
    fields: dict[str, str], name: str
) -> tuple[str, int]:
    """Returns the IP address and port in a field.

    Raises:
        InvalidField: If the field is missing or isn't `IP:PORT`.
    """
    return read_address(read_required(fields, name), name)


def read_float(
    fields: dict[str, str], name: str, default: float | None = None
) -> float:
    """Returns a number that isn't negative.

    Args:
        fields: The texts of the fields by name.
        name: The field.
        default: Value of a missing field; None if it is required.

    Raises:
        InvalidField: If the field is missing or isn't such a number.
    """
    if default is not None and not fields.get(name):
        return default
    text = read_required(fields, name)
    try:
        value = float(text)
    except ValueError as error:
        raise InvalidField(name, f'{text!r} is not a number') from error
    if not 0 <= value < inf:
        raise InvalidField(name, f'{text} is not a number from 0')
    return value
