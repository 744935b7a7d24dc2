"""Non-idempotent requests that callers send again."""
