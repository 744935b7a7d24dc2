"""Tests of cowslipmill.settings."""
