"""Tests of cowslipmill.coordination."""
