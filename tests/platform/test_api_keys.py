"""API keys are compared by the bytes that a client sends."""

import hashlib
import unittest

from cranecart.client_api._request_parsing import authenticate
from cranecart.declarations import (
    Declarations,
    LimitsSpec,
    OrganisationSpec,
)
from cranecart.exceptions import UnauthorizedError
from cranecart.http import Request
from cranecart.platform import PlatformCallTranslator
from cranecart.platform._config_source import decode_config
from cranecart.platform._wire_rows import WireRow
from tests.platform._standin import encoded

_GREEK = 'κλειδί'
_LATIN = 'clé'
# Its last byte is white space in Latin-1.
_BLANK_BYTE = 'voilà'
_ASCII = 'n2ctnfzs989anu6wsjnb'
_OTHER = '????'
_UNUSABLE = ('', 'a\nb', ' a', 'a ', '\x00')


def _holder_of(sent: bytes, *keys: str) -> str:
    """Return the organisation of a request, or '' without one."""
    row = {
        'version': 1,
        'routes': [],
        'services': [],
        'limits': {},
        'tenants': [
            {'name': f't{number}', 'apiKeys': [key]}
            for number, key in enumerate(keys)
        ],
    }
    config = decode_config(WireRow('config', value=encoded(row)))
    header = f'Bearer {sent.decode("latin-1")}'
    request = Request('GET', '/', {'authorization': header})
    key = PlatformCallTranslator().read_request(request).key
    holder = config.holder(key) if key else None
    return '' if holder is None else holder.name


class ApiKeysTest(unittest.TestCase):
    """Keys in the operator's configuration, and in declarations."""

    def test_question_marks_taken_for_another_key(self) -> None:
        """A key with other characters is no key of as many question marks."""
        question_marks = b'?' * len(_GREEK)
        self.assertEqual(_holder_of(question_marks, _GREEK), '')

    def test_key_with_other_characters_refused(self) -> None:
        """Such a key is sent as UTF-8."""
        self.assertEqual(_holder_of(_GREEK.encode(), _GREEK), 't0')

    def test_keys_mixed_up(self) -> None:
        """Each key belongs to its own organisation."""
        keys = (_GREEK, _LATIN, _ASCII, _OTHER, _BLANK_BYTE)
        holders = [_holder_of(key.encode(), *keys) for key in keys]
        self.assertEqual(holders, ['t0', 't1', 't2', 't3', 't4'])

    def test_key_in_the_older_encoding(self) -> None:
        """Clients that send a key as Latin-1 are known as before."""
        self.assertEqual(_holder_of(_LATIN.encode('latin-1'), _LATIN), 't0')

    def test_keys_that_no_header_can_carry(self) -> None:
        """They are logged and left out, and other keys stay valid."""
        with self.assertLogs('cranecart.decisions') as logs:
            holder = _holder_of(_ASCII.encode(), *_UNUSABLE, _ASCII)
        self.assertEqual(holder, f't{len(_UNUSABLE)}')
        self.assertEqual(len(logs.records), len(_UNUSABLE))

    def test_declared_key_outside_of_ascii_refused(self) -> None:
        """The hash of a declared key is that of the bytes sent."""
        for key in (_GREEK, _LATIN, _ASCII, _BLANK_BYTE):
            digest = hashlib.sha256(key.encode()).hexdigest()
            declarations = _declarations(digest)
            header = f'Bearer {key.encode().decode("latin-1")}'
            request = Request('GET', '/', {'authorization': header})
            self.assertEqual(authenticate(request, declarations).name, 'o')
            with self.assertRaises(UnauthorizedError):
                authenticate(
                    Request('GET', '/', {'authorization': 'Bearer ???'}),
                    declarations,
                )


def _declarations(digest: str) -> Declarations:
    organisation = OrganisationSpec('o', (digest,), LimitsSpec(10, 100))
    return Declarations('d', 'r', ('east',), organisations=(organisation,))
