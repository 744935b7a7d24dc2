"""Requests that a host sends to a server for another host.

For the case that a host receives requests of callers while it has no link to
the servers that are to handle them.
"""
