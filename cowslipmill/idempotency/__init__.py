"""Idempotency keys: non-idempotent requests run once despite retries."""
