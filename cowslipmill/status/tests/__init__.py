"""Tests of cowslipmill.status."""
