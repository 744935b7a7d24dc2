"""Tests of cowslipmill.measuring."""
