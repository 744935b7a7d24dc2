"""Tests of idempotency keys."""
