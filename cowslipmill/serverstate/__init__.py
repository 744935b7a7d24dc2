"""Facts about backend servers that leave."""
