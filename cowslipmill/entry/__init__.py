"""The data path: one entry process."""
