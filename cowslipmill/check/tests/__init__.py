"""Tests of cowslipmill.check."""
