"""Records of entry hosts, entries and backend servers."""
