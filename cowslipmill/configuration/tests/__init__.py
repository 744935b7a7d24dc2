"""Tests of cowslipmill.configuration."""
