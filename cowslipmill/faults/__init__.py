"""Faults injected at every step of a request."""
