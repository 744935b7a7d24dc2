"""The platform's list of live and leaving hosts and backend servers."""

from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.hosts.noderecord import NodeRecord


class HostList(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One published revision of the host list.

    The list omits a host that is neither live nor leaving. Because it lags
    behind reality, absence alone proves nothing.
    """

    revision: Annotated[int, Meta(ge=0)]
    hosts: tuple[NodeRecord, ...]
