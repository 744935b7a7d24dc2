"""Signs what the console hands to a browser and expects back."""

from base64 import urlsafe_b64decode
from base64 import urlsafe_b64encode
from binascii import Error
from collections.abc import Sequence
from hashlib import sha256
from hmac import compare_digest
from hmac import digest


class Signer:
    """Signs content for one purpose, so that no other can take it.

    Attributes:
        keys: The first signs, all are accepted.
    """

    __slots__ = ('keys',)

    def __init__(self, keys: Sequence[str]) -> None:
        """Keeps the keys."""
        self.keys = tuple(key.encode() for key in keys)

    def make_code(self, purpose: str, content: bytes) -> str:
        """Returns the authentication code of some content."""
        return make_code(self.keys[0], purpose, content)

    def verify(self, purpose: str, content: bytes, code: str) -> bool:
        """Tells whether any of the keys made this code."""
        given = code.encode()
        matches = [
            compare_digest(make_code(key, purpose, content).encode(), given)
            for key in self.keys
        ]
        return any(matches)

    def seal(self, purpose: str, content: bytes) -> str:
        """Returns the content as text, with its code."""
        text = urlsafe_b64encode(content).decode()
        return f'{text}.{self.make_code(purpose, content)}'

    def unseal(self, purpose: str, text: str) -> bytes | None:
        """Returns sealed content, or None if its code is wrong."""
        encoded, _, code = text.rpartition('.')
        try:
            content = urlsafe_b64decode(encoded.encode())
        except (Error, ValueError):
            return None
        return content if self.verify(purpose, content, code) else None


def make_code(key: bytes, purpose: str, content: bytes) -> str:
    """Returns the code that one key makes."""
    message = purpose.encode() + b'\0' + content
    return digest(key, message, sha256).hex()
