"""Tests of cowslipmill.publication."""
