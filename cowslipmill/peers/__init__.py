"""Typed messages between cowslipmill processes."""
