"""Tests of keys."""

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


def test_a_minted_key_names_its_home() -> None:
    """Keys signed with any accepted secret are read back."""
    for secret in SECRETS:
        mint = KeyIssuer('entry-1', 7, ADDRESS, secret)
        key = mint.issue(2.0, 1_000)
        expected = IssuedKey(key, 'entry-1', 7, ADDRESS, 3_000)
        assert_that(parse_key(key, SECRETS), Equals(expected))
        assert_that(mint.issue(2.0, 1_000), Not(Equals(key)))


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
def test_other_keys(text: str, kind: type) -> None:
    """A made-up key is opaque unless it claims to be minted."""
    assert_that(parse_key(text, SECRETS), IsInstance(kind))


def test_a_changed_claim_is_refused() -> None:
    """The signature covers the home and the expiry."""
    key = KeyIssuer('entry-1', 7, ADDRESS, 'old-secret').issue(2.0, 1_000)
    forged = key.replace('entry-1', 'entry-2')
    assert_that(parse_key(forged, SECRETS), IsInstance(InvalidKey))
