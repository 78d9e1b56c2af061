"""The limit on the memory of answers that this process is receiving from servers."""

import trio

from ..coordination.answermemory import AnswerMemory, Rejectable

MAX_ANSWERS_BYTES = 32 * 1024 * 1024
# Shorter answers are not counted, which would cost time on each of them.
MIN_COUNTED_BYTES = 16 * 1024

_memory: trio.lowlevel.RunVar[AnswerMemory[Rejectable]] = trio.lowlevel.RunVar(
    "answer memory"
)


def get_answer_memory() -> AnswerMemory[Rejectable]:
    """Return the limit of this trio run."""
    try:
        return _memory.get()
    except LookupError:
        memory = AnswerMemory[Rejectable](max_bytes=MAX_ANSWERS_BYTES)
        _memory.set(memory)
        return memory
