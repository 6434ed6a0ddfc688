"""Cost model of an engine, as declared by the operator."""

import attrs


@attrs.frozen
class EngineTiming:
    """Durations of an engine's steps for a model with a pace of 1.

    A step decodes one token of every running request. It takes
    ``step_seconds``, plus ``request_seconds`` for each of these requests and
    ``context_seconds`` for each token of their contexts. Prefill takes the
    prompt's tokens divided by ``prompt_rate``, plus ``pair_seconds`` for each
    pair of a token and an earlier one. New requests are admitted between
    passes of ``steps_a_pass`` steps; each pass ends in one event of every
    stream. The defaults are those of an average engine, for targets without
    declared timing.
    """

    step_seconds: float = 0.006
    request_seconds: float = 0.0005
    context_seconds: float = 0.00000001
    prompt_rate: float = 50000.0
    pair_seconds: float = 0.0000000007
    chunk_tokens: int = 2048
    steps_a_pass: float = 7

    def pass_seconds(
        self, decoding_requests: float, context_tokens: float = 0
    ) -> float:
        """Return the seconds of a pass that decodes this many requests."""
        step = (
            self.step_seconds
            + self.request_seconds * decoding_requests
            + self.context_seconds * context_tokens
        )
        return self.steps_a_pass * step

    def prompt_seconds(self, prompt_tokens: float) -> float:
        """Return the prefill seconds, in which the engine decodes nothing."""
        pairs = prompt_tokens * prompt_tokens / 2
        return prompt_tokens / self.prompt_rate + self.pair_seconds * pairs

    def work_seconds(
        self,
        events: float,
        prompt_tokens: float,
        slots: int,
    ) -> float:
        """Return the engine seconds that one request takes under full load.

        With all slots decoding, each takes an equal part of a pass, but all
        slots wait for one request's prefill.
        """
        decode_seconds = events * self.pass_seconds(slots) / slots
        return decode_seconds + self.prompt_seconds(prompt_tokens)
