"""Queues and bounds that keep servers within their limits."""
