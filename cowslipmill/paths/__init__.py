"""Which servers this host reaches over its own links."""
