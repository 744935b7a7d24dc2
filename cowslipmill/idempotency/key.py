"""Idempotency keys and their signatures.

An entry issues signed keys that name it as their owner, the only entry that
may run the request. Callers may also send keys of their own.
"""

from dataclasses import dataclass
from hashlib import sha256
from hmac import compare_digest
from hmac import digest

ISSUED_PREFIX = 'cm1_'
MAX_KEY_CHARS = 255
SIGNATURE_BYTES = 16


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key that an entry issued, with a valid signature.

    Attributes:
        text: The whole key.
        entry: Name of the entry that issued it and owns it.
        incarnation: Incarnation of that entry.
        address: Peer address of that entry.
        expires_ms: Expiry in milliseconds of the monotonic clock of that
            incarnation.
    """

    text: str
    entry: str
    incarnation: int
    address: str
    expires_ms: int


@dataclass(frozen=True, slots=True)
class CallerKey:
    """A key that the caller generated.

    Attributes:
        text: The whole key.
    """

    text: str


@dataclass(frozen=True, slots=True)
class InvalidKey:
    """A key that is malformed or has an invalid signature.

    Attributes:
        detail: Why the key is invalid, in one sentence for the caller.
    """

    detail: str


class KeyIssuer:
    """Issues signed keys for one incarnation of an entry.

    Attributes:
        entry: Name of the entry.
        incarnation: Incarnation of the entry.
        address: Peer address of the entry.
        secret: Secret that signs the keys.
        sequence: Number of keys issued so far.
    """

    __slots__ = ('address', 'entry', 'incarnation', 'secret', 'sequence')

    def __init__(
        self, entry: str, incarnation: int, address: str, secret: str
    ) -> None:
        """Initializes the issuer; no key is issued yet."""
        self.entry = entry
        self.incarnation = incarnation
        self.address = address
        self.secret = secret
        self.sequence = 0

    def issue(self, now: float, lifetime_ms: int) -> str:
        """Returns a new key.

        Args:
            now: Monotonic seconds.
            lifetime_ms: How long the key is valid in milliseconds.

        Returns:
            The key, unique by its sequence number.
        """
        self.sequence += 1
        expires_ms = int(now * 1000) + lifetime_ms
        payload = (
            f'{ISSUED_PREFIX}{self.entry}_{self.incarnation}'
            f'_{self.address}_{self.sequence}_{expires_ms}'
        )
        return f'{payload}_{sign(payload, self.secret)}'


def sign(payload: str, secret: str) -> str:
    """Returns the truncated HMAC of a payload in hexadecimal."""
    mac = digest(secret.encode(), b'key:' + payload.encode(), sha256)
    return mac[:SIGNATURE_BYTES].hex()


def parse_key(
    text: str, secrets: tuple[str, ...]
) -> IssuedKey | CallerKey | InvalidKey:
    """Parses a key and checks its signature.

    Args:
        text: Value of the `Idempotency-Key` header.
        secrets: Secrets whose signatures are accepted.

    Returns:
        A `CallerKey` if the key lacks the prefix of issued keys, else an
        `IssuedKey`. An `InvalidKey` if it is empty, too long, not ASCII, or
        has the prefix but no valid signature.
    """
    if not 0 < len(text) <= MAX_KEY_CHARS or not text.isascii():
        return InvalidKey(f'a key has 1 to {MAX_KEY_CHARS} ASCII characters')
    if not text.startswith(ISSUED_PREFIX):
        return CallerKey(text)
    payload, _, signature = text.rpartition('_')
    if not any(
        compare_digest(sign(payload, secret), signature) for secret in secrets
    ):
        return InvalidKey('no entry of this deployment minted this key')
    entry, incarnation, address, _, expires_ms = payload.split('_')[1:]
    return IssuedKey(text, entry, int(incarnation), address, int(expires_ms))
