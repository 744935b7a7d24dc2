"""Tests of cowslipmill.demo."""
