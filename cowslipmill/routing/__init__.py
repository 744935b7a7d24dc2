"""Matching a request with its route."""
