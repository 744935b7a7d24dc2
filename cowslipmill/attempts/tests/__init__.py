"""Tests of cowslipmill.attempts."""
