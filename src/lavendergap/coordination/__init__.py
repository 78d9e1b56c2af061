"""Decisions that hosts take together, as parts without I/O that others can embed.

Each part is a plain object: events and the present time go in, typed messages and
verdicts come out. Nothing here opens a socket, reads a clock or draws from the
global random generator, so that a test or a model walks the very steps that the
daemon takes.
"""

from .issuer import Issuer as Issuer
from .resolution import Pending as Pending
from .resolution import Rejected as Rejected
from .resolution import Settled as Settled
from .resolution import resolve_by_issuer as resolve_by_issuer
from .resolution import resolve_by_witness as resolve_by_witness
from .witness import Witness as Witness
