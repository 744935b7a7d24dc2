"""Tests of cowslipmill.agent."""
