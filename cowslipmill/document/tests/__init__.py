"""Tests of cowslipmill.document."""
