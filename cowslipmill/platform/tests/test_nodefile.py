"""Settings file that the platform writes for each process."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals

from cowslipmill.host.settings import DEFAULT_MEMORY_MB
from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.nodefile import decode_settings

TEXT = """\
Node=front-1
Zone=domain-a
Listen.Front=10.1.0.18:8381
Listen.Ready=10.1.0.18:8388
Listen.Control=10.1.0.18:8382
Seeds=10.1.0.18:8382,10.2.0.34:8382
Bootstrap=true
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetSlack=64
Platform.Address=10.200.1.7:8384
Something.New=not known
"""


def with_value(name: str, value: str) -> str:
    lines = [
        f'{name}={value}' if line.startswith(f'{name}=') else line
        for line in TEXT.splitlines()
    ]
    return '\n'.join(lines)


def test_settings_are_decoded() -> None:
    settings = decode_settings(TEXT)
    assert_that(settings.name, Equals('front-1'))
    assert_that(settings.callers_listen, Equals(('10.1.0.18', 8381)))
    assert_that(len(settings.seeds), Equals(2))
    assert_that(settings.stop_s, Equals(6.0))
    assert_that(settings.leaving_s, Equals(2.0))
    assert_that(settings.first_start, Equals(True))


def test_the_memory_limit_is_optional() -> None:
    """A host without one would take none or all of the machine's memory."""
    assert_that(decode_settings(TEXT).memory_mb, Equals(DEFAULT_MEMORY_MB))
    limited = decode_settings(f'{TEXT}Limits.MemoryMb=552\n')
    assert_that(limited.memory_mb, Equals(552.0))
    with pytest.raises(InvalidField):
        decode_settings(f'{TEXT}Limits.MemoryMb=inf\n')


def test_seeds_may_be_empty() -> None:
    assert_that(decode_settings(with_value('Seeds', '')).seeds, Equals(()))


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('Node', ''),
        ('Node', 'n' * 201),
        ('Zone', 'z' * 201),
        ('Listen.Front', '10.1.0.18'),
        ('Seeds', '10.1.0.18:8382,nowhere'),
        ('Bounds.GraceS', 'six'),
        ('Bounds.BudgetSlack', '-1'),
        ('Platform.Address', ''),
    ],
)
def test_an_error_names_the_invalid_field(name: str, value: str) -> None:
    with pytest.raises(InvalidField) as caught:
        decode_settings(with_value(name, value))
    assert_that(str(caught.value), Contains(f'{name}: '))
