"""Tests of cowslipmill.choice."""
