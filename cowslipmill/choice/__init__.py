"""Choice of a backend server: load balancing, health and ejection."""
