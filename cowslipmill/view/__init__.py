"""A host's view: the configuration and the backend servers."""
