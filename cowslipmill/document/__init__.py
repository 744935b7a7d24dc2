"""The configuration document: its types, checks and schema."""
