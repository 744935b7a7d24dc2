"""Tests of cowslipmill.entry."""
