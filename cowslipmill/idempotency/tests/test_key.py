"""Tests of issuing and parsing idempotency keys."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import Not

from cowslipmill.idempotency.key import CallerKey
from cowslipmill.idempotency.key import InvalidKey
from cowslipmill.idempotency.key import IssuedKey
from cowslipmill.idempotency.key import KeyIssuer
from cowslipmill.idempotency.key import parse_key

ADDRESS = '127.0.0.1:8082'
SECRETS = ('new-secret', 'old-secret')


def test_issued_key_round_trips() -> None:
    """Keys signed with any accepted secret are valid, and each is new."""
    for secret in SECRETS:
        issuer = KeyIssuer('entry-1', 7, ADDRESS, secret)
        key = issuer.issue(2.0, 1_000)
        expected = IssuedKey(key, 'entry-1', 7, ADDRESS, 3_000)
        assert_that(parse_key(key, SECRETS), Equals(expected))
        assert_that(issuer.issue(2.0, 1_000), Not(Equals(key)))


@pytest.mark.parametrize(
    ('text', 'kind'),
    [
        ('8e03978e-40d5-43dd-bc93-6894a57f9324', CallerKey),
        ('', InvalidKey),
        ('x' * 256, InvalidKey),
        ('cm1_', InvalidKey),
        ('cm1_entry-1_7_127.0.0.1:8082_1_3000_00', InvalidKey),
        ('caf\u00e9', InvalidKey),
    ],
)
def test_key_kinds(text: str, kind: type) -> None:
    """Only a key with the prefix of issued keys needs a valid signature."""
    assert_that(parse_key(text, SECRETS), IsInstance(kind))


def test_key_with_changed_entry_is_invalid() -> None:
    """The signature covers the owner and the expiry."""
    key = KeyIssuer('entry-1', 7, ADDRESS, 'old-secret').issue(2.0, 1_000)
    forged = key.replace('entry-1', 'entry-2')
    assert_that(parse_key(forged, SECRETS), IsInstance(InvalidKey))
