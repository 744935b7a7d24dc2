"""Facts about hosts and backend servers that only move forward."""
