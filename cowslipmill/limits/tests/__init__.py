"""Tests of cowslipmill.limits."""
