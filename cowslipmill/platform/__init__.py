"""Adapter between the target platform and the types of cowslipmill.

The platform is what a host runs on and talks to: the settings file, the
key-value store and the HTTP headers of callers and backend servers.
"""
