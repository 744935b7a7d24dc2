"""Bounds on the memory that a process holds for its work."""
