"""What an engine's passes cost, as the operator declares it."""

import attrs


@attrs.frozen
class EngineTiming:
    """How long an engine's steps take at a pace of one.

    A step writes one token of every request that writes; it takes
    ``step_seconds``, ``request_seconds`` more for each of these requests and
    ``context_seconds`` for each token of their contexts. Prompts are read at
    ``prompt_rate`` tokens a second and ``pair_seconds`` for each pair of a
    token and one before it. Requests are let in between passes of
    ``steps_a_pass`` steps, each of which ends in one event of every stream.
    The defaults are those of a middling engine, for targets that tell none.
    """

    step_seconds: float = 0.006
    request_seconds: float = 0.0005
    context_seconds: float = 0.00000001
    prompt_rate: float = 50000.0
    pair_seconds: float = 0.0000000007
    chunk_tokens: int = 2048
    steps_a_pass: float = 7

    def pass_seconds(self, writers: float, context_tokens: float = 0) -> float:
        """Return how long a pass takes while so many requests write."""
        step = (
            self.step_seconds
            + self.request_seconds * writers
            + self.context_seconds * context_tokens
        )
        return self.steps_a_pass * step

    def prompt_seconds(self, prompt_tokens: float) -> float:
        """Return how long a prompt keeps an engine from writing."""
        pairs = prompt_tokens * prompt_tokens / 2
        return prompt_tokens / self.prompt_rate + self.pair_seconds * pairs

    def work_seconds(
        self,
        events: float,
        prompt_tokens: float,
        slots: int,
    ) -> float:
        """Return the part of a full engine's time that a request takes.

        While all slots write, each has its part of a pass; what is read for
        one is waited for by all.
        """
        writing = events * self.pass_seconds(slots) / slots
        return writing + self.prompt_seconds(prompt_tokens)
