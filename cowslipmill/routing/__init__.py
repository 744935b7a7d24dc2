"""Matching of requests to routes."""
