"""What changed between two versions of the configuration.

Answers the load pattern of a configuration with thousands of routes of which
a few change: 70 KB for each of 43 hosts hold a link of 10 Mbit/s for 2.4 s.
"""

from msgspec import Struct

from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Limits
from cowslipmill.view.configuration import Route
from cowslipmill.view.configuration import Service


class ConfigurationChange(Struct, frozen=True, array_like=True, tag='change'):
    """What a host that has one version needs to have the next one.

    Attributes:
        base: Version that it applies to.
        version: Version that it leads to.
        routes: Routes that are new or changed.
        dropped: Names of the routes that are gone.
        services: Every service, if any of them changed.
        limits: Bounds of what callers may send.
    """

    base: int
    version: int
    routes: tuple[Route, ...]
    dropped: tuple[str, ...]
    services: tuple[Service, ...] | None
    limits: Limits


def difference(
    old: Configuration, new: Configuration
) -> ConfigurationChange | None:
    """Returns the change between two versions.

    None if it can't be told by the routes' names.
    """
    known = {route.name: route for route in old.routes}
    names = {route.name for route in new.routes}
    if len(known) != len(old.routes) or len(names) != len(new.routes):
        return None
    return ConfigurationChange(
        old.version,
        new.version,
        tuple(r for r in new.routes if known.get(r.name) != r),
        tuple(name for name in known if name not in names),
        None if new.services == old.services else new.services,
        new.limits,
    )


def with_change(
    old: Configuration, change: ConfigurationChange
) -> Configuration:
    """Returns the version that a change leads to."""
    routes = {route.name: route for route in old.routes}
    for name in change.dropped:
        routes.pop(name, None)
    routes.update((route.name, route) for route in change.routes)
    services = old.services if change.services is None else change.services
    return Configuration(
        change.version, tuple(routes.values()), services, change.limits
    )
