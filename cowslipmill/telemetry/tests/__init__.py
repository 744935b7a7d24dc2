"""Tests of cowslipmill.telemetry."""
