"""A load balancer for servers whose load shifts in milliseconds."""

VERSION = '0.1.0'
