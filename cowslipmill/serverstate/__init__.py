"""States of the backend servers, replicated between agents."""
