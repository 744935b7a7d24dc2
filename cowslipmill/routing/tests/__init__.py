"""Tests of cowslipmill.routing."""
