"""Forwards requests of callers to backend servers, with retries and hedges."""
