"""Tests of cowslipmill.launch."""
