"""How a request ends, and what its caller is told."""
