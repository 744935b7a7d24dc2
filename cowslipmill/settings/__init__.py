"""The settings of one process: types and loader."""
