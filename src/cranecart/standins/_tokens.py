"""The stand-in model: tokens are a hash of model, prompt and position."""

import hashlib

_DIGEST_BYTES = 3


def token_text(model: str, prompt: str, position: int) -> str:
    """Return the text of one token."""
    seed = f'{model}|{prompt}|{position}'.encode()
    word = hashlib.blake2b(seed, digest_size=_DIGEST_BYTES).hexdigest()
    return f'{word} '


def expected_text(model: str, prompt: str, tokens: int) -> str:
    """Return the complete response of a stand-in engine to a prompt."""
    return ''.join(
        token_text(model, prompt, position) for position in range(tokens)
    )
