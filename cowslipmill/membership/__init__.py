"""Membership of the entry hosts, replicated between their agents."""
