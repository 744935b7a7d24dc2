"""Reads the settings file that the platform writes for each process."""

from cowslipmill.host.settings import HostSettings
from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.fields import read_address

PATH_VARIABLE = 'COWSLIPMILL_NODE_FILE'
DEFAULT_PATH = '/etc/cowslipmill/node.conf'


def decode_settings(text: str) -> HostSettings:
    """Returns a host's settings from lines of `a.b=value`.

    Raises:
        InvalidField: If a field is missing or faulty.
    """
    lines = dict(split_line(line) for line in text.splitlines() if line)
    return HostSettings(
        name=read_required(lines, 'Node'),
        failure_domain=read_required(lines, 'Zone'),
        callers_listen=read_required_address(lines, 'Listen.Front'),
        readiness_listen=read_required_address(lines, 'Listen.Ready'),
        peer_listen=read_required_address(lines, 'Listen.Control'),
        seeds=tuple(
            read_address(seed, 'Seeds')
            for seed in lines.get('Seeds', '').split(',')
            if seed
        ),
        store=read_required_address(lines, 'Platform.Address'),
        stop_s=read_float(lines, 'Bounds.GraceS'),
        retry_share=read_float(lines, 'Bounds.RetryBudgetRatio'),
        retry_reserve=read_float(lines, 'Bounds.BudgetSlack'),
        leaving_s=read_float(lines, 'Bounds.DrainMs') / 1000,
        first_start=lines.get('Bootstrap') == 'true',
    )


def split_line(line: str) -> tuple[str, str]:
    """Returns the name and the value of a line."""
    name, _, value = line.partition('=')
    return name.strip(), value.strip()


def read_required(lines: dict[str, str], name: str) -> str:
    """Returns a field's text.

    Raises:
        InvalidField: If it is missing or empty.
    """
    value = lines.get(name, '')
    if not value:
        raise InvalidField(name, 'missing')
    return value


def read_required_address(lines: dict[str, str], name: str) -> tuple[str, int]:
    """Returns an address."""
    return read_address(read_required(lines, name), name)


def read_float(lines: dict[str, str], name: str) -> float:
    """Returns a number that isn't negative.

    Raises:
        InvalidField: If the field is missing or isn't such a number.
    """
    text = read_required(lines, name)
    try:
        value = float(text)
    except ValueError as error:
        raise InvalidField(name, f'{text!r} is not a number') from error
    if value < 0:
        raise InvalidField(name, f'{text} is negative')
    return value
