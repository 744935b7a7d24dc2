"""Health probes of backend servers within a budget for each server."""
