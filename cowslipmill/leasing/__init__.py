"""Leases the slots of backend servers to requests.

Each service has one coordinator per failure domain, on one of the hosts.
"""
