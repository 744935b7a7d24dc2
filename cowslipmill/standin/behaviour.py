"""How a stand-in server behaves now; set at run time."""

from typing import Annotated

from msgspec import Meta
from msgspec import Struct

Factor = Annotated[float, Meta(ge=0.0, le=10_000.0)]


class Behaviour(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Faults in force at one server.

    Attributes:
        slow_factor: Multiplies each service time.
        draining: Says with each answer that it is leaving.
        shedding: Refuses every request as not started.
        failing_fast: Answers 500 at once while reporting health.
        frozen: Accepts requests and answers none.
        lying: Reports no load whatever runs.
        answer_bytes: Size of each answer's body.
        crash_marker: A request whose body holds it crashes the server.
    """

    slow_factor: Factor = 1.0
    draining: bool = False
    shedding: bool = False
    failing_fast: bool = False
    frozen: bool = False
    lying: bool = False
    answer_bytes: Annotated[int, Meta(ge=0, le=16_777_216)] = 300
    crash_marker: str = ''
