"""Authenticated messaging and calls between cowslipmill processes."""
