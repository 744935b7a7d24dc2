"""Settings of a process: types and loader."""
