"""Forms and administration API for operators."""
