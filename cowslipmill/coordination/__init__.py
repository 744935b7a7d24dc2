"""Home entries of services and the leases that they grant."""
