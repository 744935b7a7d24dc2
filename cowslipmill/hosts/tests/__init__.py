"""Tests of cowslipmill.hosts."""
