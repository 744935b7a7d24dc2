"""Choosing a backend server."""
