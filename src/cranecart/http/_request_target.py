"""The forms of a request's target."""

import re

from cranecart.exceptions import BadMessageError

_ABSOLUTE_FORM = re.compile('https?://([^/?#]*)(.*)', re.IGNORECASE | re.DOTALL)


def path_of(target: str) -> str:
    """Return a target without its query, as it is sent."""
    return target.partition('?')[0]


def query_of(target: str) -> str:
    """Return the query of a target, without the question mark."""
    return target.partition('?')[2]


def split_absolute_form(target: str) -> tuple[str, str]:
    """Return the authority and the rest of a target in absolute form.

    The authority is empty for other forms. The rest starts with a slash. Raise
    ``BadMessageError`` if the authority is missing or holds credentials.
    """
    match = _ABSOLUTE_FORM.fullmatch(target)
    if match is None:
        return '', target
    authority, rest = match.groups()
    if not authority or '@' in authority:
        raise BadMessageError(f'invalid authority in the target {target!r}')
    return authority, rest if rest.startswith('/') else f'/{rest}'
