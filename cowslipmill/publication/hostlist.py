"""The platform's list of live and leaving hosts."""

from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.hosts.noderecord import NodeRecord


class HostList(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One published state of the host list.

    A host that is neither live nor leaving is left out, so absence alone
    proves nothing: the list lags behind reality.
    """

    revision: Annotated[int, Meta(ge=0)]
    hosts: tuple[NodeRecord, ...]
