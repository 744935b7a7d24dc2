"""Coordinators of services and the leases that they grant."""
