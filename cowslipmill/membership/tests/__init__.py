"""Tests of cowslipmill.membership."""
