"""Tests of cowslipmill.serverstate."""
